//! Numbers with types of their own, so that they are not confused.
use minicbor::{Decode, Encode};
use std::{
    fmt,
    ops::{Add, Sub},
};

/// Milliseconds on the steady clock of one process, counted from its start. It does not jump, and it means nothing to
/// another process.
pub type Millis = u64;

/// Milliseconds of the time of day, counted from 1970 (UTC).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct WallMillis(#[n(0)] pub u64);

impl WallMillis {
    /// This time and `ms` milliseconds more, or the latest time that there is.
    #[must_use]
    pub fn saturating_add(self, ms: u64) -> WallMillis {
        WallMillis(self.0.saturating_add(ms))
    }

    /// This time less `ms` milliseconds, or 1970.
    #[must_use]
    pub fn saturating_sub(self, ms: u64) -> WallMillis {
        WallMillis(self.0.saturating_sub(ms))
    }

    /// Milliseconds from `earlier` to this time; zero if it is not earlier.
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

/// Number of a membership view. Views are agreed one after the other; zero is the state before the first one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct ViewNumber(#[n(0)] pub u64);

impl ViewNumber {
    /// The number of the view after this one. The highest one has none after it: no view follows.
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

/// Index of an entry in the replicated log, from one; zero is before the first entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct LogIndex(#[n(0)] pub u64);

impl LogIndex {
    /// Above every index that is ever used.
    pub const MAX: LogIndex = LogIndex(u64::MAX);

    /// The index `entries` after this one, or the highest that there is.
    #[must_use]
    pub fn saturating_add(self, entries: u64) -> LogIndex {
        LogIndex(self.0.saturating_add(entries))
    }

    /// How many entries follow `earlier` up to this one; `None` if this one is earlier.
    pub fn checked_entries_since(self, earlier: LogIndex) -> Option<u64> {
        self.0.checked_sub(earlier.0)
    }

    /// The index after this one, or the highest that there is.
    #[must_use]
    pub fn next(self) -> LogIndex {
        LogIndex(self.0.saturating_add(1))
    }

    /// How many entries follow `earlier` up to this one; zero if it is not earlier.
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

/// Fencing token of a singleton role: rises with each owner, so that whoever has seen a higher one rejects the lower
/// (Burrows, "The Chubby lock service", 2006). Zero: the role was never owned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct FencingToken(#[n(0)] pub u64);

impl FencingToken {
    /// The token of the next owner; `None` after the highest that there is: two owners must not share one.
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

/// Number of a proposal in the agreement on the next view (single-decree Paxos, Lamport, "Paxos made simple", 2001):
/// ordered by round, then by proposer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Ballot {
    /// Counts the rounds.
    #[n(0)]
    pub round: u64,
    /// Distinguishes the proposers of one round: a tag of the proposer.
    #[n(1)]
    pub proposer: u32,
}

impl fmt::Display for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.round, self.proposer)
    }
}
