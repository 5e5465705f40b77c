//! Newtypes for numbers, so that the compiler rejects mixing them up.
use minicbor::{Decode, Encode};
use std::{
    fmt,
    ops::{Add, Sub},
};

/// Milliseconds on the monotonic clock of one process, counted from its start. Values of different processes can't be
/// compared.
pub type Millis = u64;

/// Wall-clock time in milliseconds since 1970 (UTC).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct WallMillis(#[n(0)] pub u64);

impl WallMillis {
    /// Adds `ms` milliseconds; saturates at the maximum time.
    #[must_use]
    pub fn saturating_add(self, ms: u64) -> WallMillis {
        WallMillis(self.0.saturating_add(ms))
    }

    /// Subtracts `ms` milliseconds; saturates at 1970.
    #[must_use]
    pub fn saturating_sub(self, ms: u64) -> WallMillis {
        WallMillis(self.0.saturating_sub(ms))
    }

    /// Milliseconds from `earlier` to this time; zero if `earlier` is later.
    pub fn since(self, earlier: WallMillis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for WallMillis {
    type Output = WallMillis;

    fn add(self, ms: u64) -> WallMillis {
        WallMillis(self.0 + ms)
    }
}

impl Sub<u64> for WallMillis {
    type Output = WallMillis;

    fn sub(self, ms: u64) -> WallMillis {
        WallMillis(self.0 - ms)
    }
}

/// Number of a membership view. Views are decided one after the other; zero is the state before the first one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct ViewNumber(#[n(0)] pub u64);

impl ViewNumber {
    /// The number of the next view. Saturates at the maximum, after which no view follows.
    #[must_use]
    pub fn next(self) -> ViewNumber {
        ViewNumber(self.0.saturating_add(1))
    }
}

impl fmt::Display for ViewNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Index of an entry in the replicated log, starting at one; zero is before the first entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct LogIndex(#[n(0)] pub u64);

impl LogIndex {
    /// Upper bound above every index in use.
    pub const MAX: LogIndex = LogIndex(u64::MAX);

    /// The index `entries` after this one; saturates at the maximum.
    #[must_use]
    pub fn saturating_add(self, entries: u64) -> LogIndex {
        LogIndex(self.0.saturating_add(entries))
    }

    /// Number of entries after `earlier`, up to and including this one; `None` if this one is before `earlier`.
    pub fn checked_entries_since(self, earlier: LogIndex) -> Option<u64> {
        self.0.checked_sub(earlier.0)
    }

    /// The next index; saturates at the maximum.
    #[must_use]
    pub fn next(self) -> LogIndex {
        LogIndex(self.0.saturating_add(1))
    }

    /// Number of entries after `earlier`, up to and including this one; zero if this one is before `earlier`.
    pub fn entries_since(self, earlier: LogIndex) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for LogIndex {
    type Output = LogIndex;

    fn add(self, entries: u64) -> LogIndex {
        LogIndex(self.0 + entries)
    }
}

impl Sub<u64> for LogIndex {
    type Output = LogIndex;

    fn sub(self, entries: u64) -> LogIndex {
        LogIndex(self.0 - entries)
    }
}

impl fmt::Display for LogIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Fencing token of a singleton role. It increases with each holder, so that a process that has seen a higher token
/// rejects requests with a lower one (Burrows, "The Chubby lock service", 2006). Zero means that the role was never
/// held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct FencingToken(#[n(0)] pub u64);

impl FencingToken {
    /// The token of the next holder; `None` after the maximum, because two holders must not share a token.
    #[must_use]
    pub fn checked_next(self) -> Option<FencingToken> {
        self.0.checked_add(1).map(FencingToken)
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Ballot number in the agreement on the next view (single-decree Paxos, Lamport, "Paxos made simple", 2001), ordered
/// by round, then by proposer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Ballot {
    /// Round number.
    #[n(0)]
    pub round: u64,
    /// Tag of the proposer, which distinguishes ballots of the same round.
    #[n(1)]
    pub proposer: u32,
}

impl fmt::Display for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.round, self.proposer)
    }
}
