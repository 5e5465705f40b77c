//! The clocks of this process.
use magpiegap_protocol::{Millis, WallMillis};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A steady clock that counts from the start of the process, and the time of day.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts counting.
    pub(crate) fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// Milliseconds since the start, from one on.
    pub(crate) fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis + 1
    }

    /// Milliseconds since 1970, as this machine has it.
    pub(crate) fn wall(&self) -> WallMillis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        WallMillis(since.map_or(0, |since| since.as_millis() as u64))
    }
}
