//! The load-balancing policy of a stand-in and its rule violations. The names on the command line are fixed.
use clap::ValueEnum;

/// How a stand-in chooses an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Policy {
    /// A random active one.
    Random,
    /// The active ones in turn.
    RoundRobin,
}

/// A rule violation that a stand-in commits on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Misbehavior {
    /// Closes the client connection of every tenth request after forwarding it.
    #[value(name = "loses")]
    LoseResponse,
    /// Never responds to every tenth request.
    #[value(name = "holds")]
    NeverRespond,
    /// Responds to every tenth request without forwarding it.
    #[value(name = "invents")]
    InventResponse,
    /// Sends every request a second time, regardless of its class and of the first response.
    #[value(name = "repeats")]
    RepeatRequest,
    /// Refuses every tenth request after it has run.
    #[value(name = "refuses")]
    RefuseAfterRun,
    /// Sends every request to two upstreams at once.
    #[value(name = "doubles")]
    SendTwiceAtOnce,
    /// Makes four more attempts for every request.
    #[value(name = "insists")]
    RetryTooOften,
    /// Sends every tenth request once more after it has responded.
    #[value(name = "lingers")]
    SendAfterResponse,
    /// Ignores discovery updates, so it sends to upstreams that drain.
    #[value(name = "deaf")]
    IgnoreUpdates,
    /// Sends all requests to the upstream that started last.
    #[value(name = "crowds")]
    SendToNewest,
    /// Forwards every tenth request under a made-up request id.
    #[value(name = "forges")]
    ForgeRequestId,
    /// Leaks memory with each request.
    #[value(name = "swells")]
    LeakMemory,
    /// Leaks a descriptor with each request.
    #[value(name = "hoards")]
    LeakDescriptors,
    /// Exits after a number of requests.
    #[value(name = "dies")]
    Crash,
    /// Never reports that it is ready.
    #[value(name = "idles")]
    NeverReady,
    /// Sends its peers datagrams longer than the protocol allows.
    #[value(name = "shouts")]
    OversizeDatagram,
    /// Reports twice the number of requests in its metrics.
    #[value(name = "boasts")]
    OverstateMetrics,
    /// Reports the same incarnation after each start.
    #[value(name = "stutters")]
    RepeatIncarnation,
    /// Reports that it acts on peer sums that are a minute old.
    #[value(name = "remembers")]
    StaleSums,
    /// Refuses requests of the first tenant that it has seen, once it has seen another tenant.
    #[value(name = "favours")]
    RefuseFirstTenant,
    /// Reads and sends protocol version 1 only. This breaks no rule, but its peers break one if they send version 2.
    #[value(name = "speaks-old")]
    OldVersionOnly,
    /// Reads versions 1 and 2, and always sends 2, even while a peer reads version 1 only.
    #[value(name = "misspeaks")]
    UnreadableVersion,
    /// Reads versions 1 and 2, and always sends 1, even when all peers read 2.
    #[value(name = "clings")]
    NeverAgree,
    /// Sends decreasing agreement epochs.
    #[value(name = "rewinds")]
    RewindEpoch,
    /// Sends its peers datagrams with an invalid checksum.
    #[value(name = "mumbles")]
    InvalidChecksum,
}
