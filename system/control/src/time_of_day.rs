//! The time of day of one machine, without the jumps that its clock may make.
use magpiegap_protocol::{Millis, WallMillis};

/// A smaller difference from what the steady clock tells is drift, and is followed at once.
const JUMP_MS: u64 = 250;
/// A jump that has lasted for this long is a correction, and is followed.
const CORRECTION_AFTER_MS: Millis = 60_000;
/// A clock that has been read for less than this is followed in any case: its first reading may have been amid a jump.
const WARM_UP_MS: Millis = 15_000;

/// What a clock shows beside the steady clock: its reading less that of the steady clock.
type Offset = i64;

/// An offset, and since when it has been shown.
#[derive(Clone, Copy, Debug)]
struct Shown {
    since: Millis,
    offset: Offset,
}

/// Reads a clock that may jump.
#[derive(Clone, Debug, Default)]
pub struct TimeOfDay {
    /// The offset that is believed; `since` is when the clock was first read.
    believed: Option<Shown>,
    /// Another offset that the clock shows at present.
    jumped: Option<Shown>,
}

impl TimeOfDay {
    /// The time of day when the steady clock shows `now` and the machine's clock `wall`.
    pub fn read(&mut self, now: Millis, wall: WallMillis) -> WallMillis {
        let offset = wall.0 as Offset - now as Offset;
        let shown = Shown { since: now, offset };
        let mut believed = *self.believed.get_or_insert(shown);
        if self.follows(believed, shown) {
            believed.offset = offset;
            self.believed = Some(believed);
            self.jumped = None;
        }
        WallMillis(u64::try_from(now as Offset + believed.offset).unwrap_or(0))
    }

    /// Whether the offset that is shown now is to be believed; one that is not is remembered.
    fn follows(&mut self, believed: Shown, shown: Shown) -> bool {
        let now = shown.since;
        if is_close(shown, believed) || now < believed.since + WARM_UP_MS {
            return true;
        }
        match self.jumped {
            Some(jumped) if is_close(jumped, shown) => now >= jumped.since + CORRECTION_AFTER_MS,
            _ => {
                self.jumped = Some(shown);
                false
            }
        }
    }
}

/// Whether two offsets differ by drift only.
fn is_close(one: Shown, other: Shown) -> bool {
    one.offset.abs_diff(other.offset) <= JUMP_MS
}
