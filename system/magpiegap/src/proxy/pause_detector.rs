//! Detects that the process was paused, so that requests it reads next may have arrived long ago.
//!
//! How long bytes have waited in a socket cannot be seen from outside the kernel. The coordinators recognize a late
//! submission by the record of its job, which they retain for some minutes; older submissions must not be forwarded.
use std::time::{Duration, Instant};

/// Interval at which the process shows that it is running.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest pause after which submissions are still forwarded. Coordinators retain ended jobs for at least twice as long.
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Time after a longer pause for which the requests read may have arrived during it.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// Tracks when the process was last seen running.
#[derive(Debug)]
pub struct PauseDetector {
    last_seen_at: Instant,
    /// Until when requests may have arrived during a long pause.
    stale_until: Option<Instant>,
}

impl PauseDetector {
    /// Creates a detector for a process that runs at `now`.
    pub fn new(now: Instant) -> PauseDetector {
        PauseDetector {
            last_seen_at: now,
            stale_until: None,
        }
    }

    /// Records that the process runs at `now`. Must be called every [`TICK_INTERVAL`], and when a request is read.
    /// Returns whether requests that are read now may have arrived during a long pause.
    pub fn observe(&mut self, now: Instant) -> bool {
        let pause = now.saturating_duration_since(self.last_seen_at);
        self.last_seen_at = now;
        if pause > MAX_PAUSE {
            self.stale_until = Some(now + RECOVERY_TIME);
        }
        self.stale_until.is_some_and(|until| now < until)
    }
}
