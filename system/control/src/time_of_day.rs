//! The time of day of a machine, with jumps of its wall clock filtered out.
use magpiegap_protocol::{Millis, WallMillis};

/// A change of the offset to the steady clock by at most this much is drift, and is accepted at once.
const MAX_DRIFT_MS: u64 = 250;
/// A jump that has persisted for this long is a correction of the clock, and is accepted.
const CORRECTION_DELAY_MS: Millis = 60_000;
/// Every offset is accepted for this long after the first reading, which may have been taken during a jump.
const WARM_UP_MS: Millis = 15_000;

/// A wall clock's reading minus that of the steady clock, in milliseconds.
type Offset = i64;

/// An offset, and when it was first observed.
#[derive(Clone, Copy, Debug)]
struct ObservedOffset {
    since: Millis,
    offset: Offset,
}

/// Filters the readings of a wall clock that may jump.
#[derive(Clone, Debug, Default)]
pub struct TimeOfDay {
    /// The accepted offset; `since` is when the clock was first read.
    accepted: Option<ObservedOffset>,
    /// A different offset that the clock currently shows, and that may be a correction.
    candidate: Option<ObservedOffset>,
}

impl TimeOfDay {
    /// The time of day, given the readings of the steady clock and of the machine's wall clock.
    pub fn read(&mut self, now: Millis, wall: WallMillis) -> WallMillis {
        let offset = wall.0 as Offset - now as Offset;
        let observed = ObservedOffset { since: now, offset };
        let mut accepted = *self.accepted.get_or_insert(observed);
        if self.accepts(accepted, observed) {
            accepted.offset = offset;
            self.accepted = Some(accepted);
            self.candidate = None;
        }
        WallMillis(u64::try_from(now as Offset + accepted.offset).unwrap_or(0))
    }

    /// Whether the observed offset is accepted; otherwise it is remembered as the candidate.
    fn accepts(&mut self, accepted: ObservedOffset, observed: ObservedOffset) -> bool {
        let now = observed.since;
        if is_close(observed, accepted) || now < accepted.since + WARM_UP_MS {
            return true;
        }
        match self.candidate {
            Some(candidate) if is_close(candidate, observed) => {
                now >= candidate.since + CORRECTION_DELAY_MS
            }
            _ => {
                self.candidate = Some(observed);
                false
            }
        }
    }
}

/// Whether two offsets differ by drift only.
fn is_close(left: ObservedOffset, right: ObservedOffset) -> bool {
    left.offset.abs_diff(right.offset) <= MAX_DRIFT_MS
}
