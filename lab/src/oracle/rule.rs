//! The rules and what each requires.
use serde::Serialize;

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each accepted request gets exactly one final response before its client gives up.
    Lost,
    /// Every successful response was produced by an upstream for this request.
    Invented,
    /// A request that may have been executed is retried only as its class allows.
    Repeated,
    /// A refused request was not executed.
    Refused,
    /// A request has at most one attempt in flight.
    #[serde(rename = "two-out")]
    ConcurrentAttempts,
    /// The number of attempts stays within the configured maximum.
    Attempts,
    /// No attempt is sent for a request after its end.
    AfterEnd,
    /// No new request goes to a draining upstream after the grace period.
    Drained,
    /// The balancers together do not overload an upstream in slow start.
    #[serde(rename = "tipped")]
    Overloaded,
    /// Every request that reaches an upstream was sent by a client.
    Foreign,
    /// Memory stays within its limit.
    Memory,
    /// Open file descriptors stay within their limit.
    Descriptors,
    /// No balancer exits unless asked to.
    Crashed,
    /// Every balancer becomes ready in time.
    NotReady,
    /// Datagrams between balancers have at most 256 bytes.
    Datagram,
    /// Datagrams between balancers have the header and checksum common to all versions.
    Header,
    /// No balancer sends a version that a live member has not announced.
    Version,
    /// The epoch of the version agreement never decreases within an incarnation.
    Epoch,
    /// Once nothing changes, all members send the highest version that all support.
    Agreed,
    /// Retries into a tier stay within a fraction of first attempts.
    Budget,
    /// Attempts at a failing zone stay within a number per second.
    Trials,
    /// A tenant within its share retains its value while another exceeds its share.
    InShare,
    /// Balancers do not act on shared data beyond its maximum age.
    Stale,
    /// A balancer's own metrics match what others observed.
    #[serde(rename = "figures")]
    Metrics,
    /// A balancer's start number increases with each start, even if its state folder is damaged.
    Numbered,
}

impl Rule {
    /// All rules.
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

    /// Returns a short description of what the rule requires.
    pub fn description(self) -> &'static str {
        match self {
            Rule::Lost => "each accepted request gets one final response in time",
            Rule::Invented => {
                "every successful response was produced by an upstream for this request"
            }
            Rule::Repeated => "a request is retried only as its class allows",
            Rule::Refused => "a refused request was not executed",
            Rule::ConcurrentAttempts => "at most one attempt in flight per request",
            Rule::Attempts => "attempts per request within the configured maximum",
            Rule::AfterEnd => "no attempt for a request after its end",
            Rule::Drained => "no new request to a draining upstream after the grace period",
            Rule::Overloaded => "no upstream overloaded during slow start",
            Rule::Foreign => "every request that reaches an upstream was sent by a client",
            Rule::Memory => "memory within its limit",
            Rule::Descriptors => "file descriptors within their limit",
            Rule::Crashed => "no balancer exits unless asked to",
            Rule::NotReady => "every balancer ready in time",
            Rule::Datagram => "datagrams of at most 256 bytes",
            Rule::Header => "datagrams have the header and checksum common to all versions",
            Rule::Version => "no version is sent that a live member has not announced",
            Rule::Epoch => "the epoch of the version agreement never decreases",
            Rule::Agreed => "all members send the highest common version in time",
            Rule::Budget => "retries within their fraction of first attempts",
            Rule::Trials => "attempts at a failing zone within their limit",
            Rule::InShare => "a tenant within its share retains its value",
            Rule::Stale => "no shared data is acted on beyond its maximum age",
            Rule::Metrics => "a balancer's own metrics match what others observed",
            Rule::Numbered => "a balancer's start number increases with each start",
        }
    }
}
