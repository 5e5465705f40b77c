//! The rules, and what each asks.
use serde::Serialize;

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each request taken gets exactly one final answer before its client gives up.
    Lost,
    /// What is served was made by an upstream for this request.
    Invented,
    /// A request that may have run is sent again only as its class allows.
    Repeated,
    /// A refusal promises that nothing ran.
    Refused,
    /// One attempt is out at a time.
    #[serde(rename = "two-out")]
    ConcurrentAttempts,
    /// No more attempts than the settings allow.
    Attempts,
    /// Nothing is sent for a request after its end.
    AfterEnd,
    /// Nothing new goes to an upstream that drains, after the grace.
    Drained,
    /// No cold upstream is pushed over by all balancers together.
    #[serde(rename = "tipped")]
    Overloaded,
    /// What reaches an upstream was sent by a client.
    Foreign,
    /// Memory stays within its limit.
    Memory,
    /// Descriptors stay within their limit.
    Descriptors,
    /// No balancer ends unless asked to.
    Crashed,
    /// Every balancer gets ready in time.
    NotReady,
    /// Datagrams between balancers hold 256 bytes at most.
    Datagram,
    /// Datagrams between balancers begin and end as all versions have them.
    Header,
    /// No balancer sends a version that a live member has not announced.
    Version,
    /// The number of the agreement on a version never goes back within an incarnation.
    Epoch,
    /// Once nothing changes all speak the highest version that all read.
    Agreed,
    /// Further attempts into a tier stay within a part of first ones.
    Budget,
    /// Attempts at a zone that does no good stay within a number a second.
    Trials,
    /// A tenant within its share keeps its worth.
    InShare,
    /// Nothing shared is acted on beyond its stated age.
    Stale,
    /// What a balancer counts of itself is what others saw of it.
    #[serde(rename = "figures")]
    Metrics,
    /// The number of a balancer's start grows with each, whatever becomes of its folder.
    Numbered,
}

impl Rule {
    /// All of them.
    pub const ALL: [Rule; 25] = [
        Rule::Lost,
        Rule::Invented,
        Rule::Repeated,
        Rule::Refused,
        Rule::ConcurrentAttempts,
        Rule::Attempts,
        Rule::AfterEnd,
        Rule::Drained,
        Rule::Overloaded,
        Rule::Foreign,
        Rule::Memory,
        Rule::Descriptors,
        Rule::Crashed,
        Rule::NotReady,
        Rule::Datagram,
        Rule::Header,
        Rule::Version,
        Rule::Epoch,
        Rule::Agreed,
        Rule::Budget,
        Rule::Trials,
        Rule::InShare,
        Rule::Stale,
        Rule::Metrics,
        Rule::Numbered,
    ];

    /// What it asks, in a few words.
    pub fn asks(self) -> &'static str {
        match self {
            Rule::Lost => "one final answer for each request taken, in its time",
            Rule::Invented => "what is served was made by an upstream for this request",
            Rule::Repeated => "sent again only as its class allows",
            Rule::Refused => "a refusal promises that nothing ran",
            Rule::ConcurrentAttempts => "one attempt out at a time",
            Rule::Attempts => "no more attempts than the settings allow",
            Rule::AfterEnd => "nothing sent for a request after its end",
            Rule::Drained => "nothing new to an upstream that drains, after the grace",
            Rule::Overloaded => "no cold upstream pushed over by all together",
            Rule::Foreign => "what reaches an upstream was sent by a client",
            Rule::Memory => "memory within its limit",
            Rule::Descriptors => "descriptors within their limit",
            Rule::Crashed => "no balancer ends unless told to",
            Rule::NotReady => "every balancer ready in time",
            Rule::Datagram => "datagrams of 256 bytes at most",
            Rule::Header => "datagrams begin and end as all versions have them",
            Rule::Version => "no version is sent that a live member has not announced",
            Rule::Epoch => "the number of the agreement on a version never goes back",
            Rule::Agreed => "all speak the highest version that all read, in its time",
            Rule::Budget => "further attempts within their part of first ones",
            Rule::Trials => "trials of a zone that does no good within their number",
            Rule::InShare => "a tenant within its share keeps its worth",
            Rule::Stale => "nothing shared is acted on beyond its age",
            Rule::Metrics => "what a balancer counts is what others saw",
            Rule::Numbered => "the number of a start grows with each",
        }
    }
}
