//! How a stand-in chooses upstreams, and what it does that a balancer must not. The names on the command line are fixed.
use clap::ValueEnum;

/// How a stand-in chooses an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Policy {
    /// Any of the active ones.
    Random,
    /// Each in turn.
    RoundRobin,
}

/// What a stand-in does that a balancer must not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Misbehavior {
    /// Closes the connection of every tenth request after it has sent it on.
    #[value(name = "loses")]
    LoseResponse,
    /// Says nothing to every tenth request.
    #[value(name = "holds")]
    NeverRespond,
    /// Answers every tenth request by itself.
    #[value(name = "invents")]
    InventResponse,
    /// Sends what failed or was served once more, whatever its class.
    #[value(name = "repeats")]
    RepeatRequest,
    /// Refuses every tenth request after it has run.
    #[value(name = "refuses")]
    RefuseAfterRun,
    /// Sends every request to two upstreams at once.
    #[value(name = "doubles")]
    SendTwiceAtOnce,
    /// Tries ever again.
    #[value(name = "insists")]
    RetryTooOften,
    /// Sends every tenth request once more after it has answered.
    #[value(name = "lingers")]
    SendAfterResponse,
    /// Ignores that an upstream drains.
    #[value(name = "deaf")]
    IgnoreUpdates,
    /// Sends everything to whoever started last.
    #[value(name = "crowds")]
    SendToNewest,
    /// Sends on requests under ids of its own.
    #[value(name = "forges")]
    ForgeRequestId,
    /// Takes ever more memory.
    #[value(name = "swells")]
    LeakMemory,
    /// Takes ever more descriptors.
    #[value(name = "hoards")]
    LeakDescriptors,
    /// Ends after some requests.
    #[value(name = "dies")]
    Crash,
    /// Never reports that it is ready.
    #[value(name = "idles")]
    NeverReady,
    /// Sends its peers more than a datagram may hold.
    #[value(name = "shouts")]
    OversizeDatagram,
    /// Writes metrics of twice what it took.
    #[value(name = "boasts")]
    OverstateMetrics,
    /// Writes the same number of its start each time.
    #[value(name = "stutters")]
    RepeatIncarnation,
    /// Writes that it acts on sums of a minute ago.
    #[value(name = "remembers")]
    StaleSums,
    /// Refuses the first tenant that it has seen, once it has seen another.
    #[value(name = "favours")]
    RefuseFirstTenant,
    /// Speaks with its peers as it should, and reads version 1 alone. Nothing wrong by itself: others may be, beside
    /// it.
    #[value(name = "speaks-old")]
    OldVersionOnly,
    /// Speaks with its peers, reads versions 1 and 2, and sends 2 whoever is there.
    #[value(name = "misspeaks")]
    UnreadableVersion,
    /// Reads versions 1 and 2, and sends 1 for ever.
    #[value(name = "clings")]
    NeverAgree,
    /// Tells of a number of the agreement that goes back.
    #[value(name = "rewinds")]
    RewindEpoch,
    /// Sends its peers what is no datagram.
    #[value(name = "mumbles")]
    InvalidChecksum,
}
