//! Monotonic and wall-clock time for a process.
use magpiegap_protocol::{Millis, WallMillis};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts with the process, and the system wall clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock whose zero point is the current time.
    pub(crate) fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// Milliseconds since the start, plus one, so that the result is never zero.
    pub(crate) fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis + 1
    }

    /// Milliseconds since the Unix epoch according to the system clock; zero if that clock is set before the epoch.
    pub(crate) fn wall_time(&self) -> WallMillis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        WallMillis(since.map_or(0, |since| since.as_millis() as u64))
    }
}
