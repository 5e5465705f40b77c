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

/// Reads a clock that may jump.
#[derive(Clone, Debug, Default)]
pub struct TimeOfDay {
    /// When the clock was first read, and the offset that is believed.
    believed: Option<(Millis, Offset)>,
    /// Since when the clock shows another offset, and which.
    jumped: Option<(Millis, Offset)>,
}

impl TimeOfDay {
    /// The time of day when the steady clock shows `now` and the machine's clock `wall`.
    pub fn read(&mut self, now: Millis, wall: WallMillis) -> WallMillis {
        let shown = wall.0 as Offset - now as Offset;
        let (first_read, believed) = *self.believed.get_or_insert((now, shown));
        let offset = if self.follows(now, first_read, believed, shown) {
            self.believed = Some((first_read, shown));
            self.jumped = None;
            shown
        } else {
            believed
        };
        WallMillis(u64::try_from(now as Offset + offset).unwrap_or(0))
    }

    fn follows(
        &mut self,
        now: Millis,
        first_read: Millis,
        believed: Offset,
        shown: Offset,
    ) -> bool {
        if shown.abs_diff(believed) <= JUMP_MS || now < first_read + WARM_UP_MS {
            return true;
        }
        match self.jumped {
            Some((since, jumped)) if jumped.abs_diff(shown) <= JUMP_MS => {
                now >= since + CORRECTION_AFTER_MS
            }
            _ => {
                self.jumped = Some((now, shown));
                false
            }
        }
    }
}
