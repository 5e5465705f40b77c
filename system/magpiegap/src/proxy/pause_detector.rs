//! Detects that the process was paused, so that requests it reads next may have arrived long ago.
//!
//! How long bytes have waited in a socket cannot be seen from outside the kernel. The coordinators recognize a late
//! submission by the record of its job, which they retain for some minutes; older submissions must not be forwarded.
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Interval at which the process shows that it is running.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest pause after which submissions are still forwarded. Coordinators retain ended jobs for at least twice as long.
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Time after a longer pause for which the requests read may have arrived during it.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// What was last seen of the process.
#[derive(Debug)]
struct Observed {
    running_at: Instant,
    /// Until when requests may have arrived during a long pause.
    stale_until: Option<Instant>,
}

/// Tracks when the process was last seen running.
#[derive(Debug)]
pub struct PauseDetector {
    observed: Mutex<Observed>,
}

impl PauseDetector {
    /// Creates a detector for a process that runs at `now`.
    pub fn new(now: Instant) -> PauseDetector {
        PauseDetector {
            observed: Mutex::new(Observed {
                running_at: now,
                stale_until: None,
            }),
        }
    }

    /// Observes at regular intervals that the process runs. Never ends.
    pub(super) async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            self.observe(Instant::now());
        }
    }

    /// Records that the process runs at `now`. Returns whether requests that are read now may have arrived during a long
    /// pause. Pauses are detected as long as it is called regularly, in addition to when a request is read.
    pub fn observe(&self, now: Instant) -> bool {
        let mut observed = self.observed();
        let pause = now.saturating_duration_since(observed.running_at);
        observed.running_at = now;
        if pause > MAX_PAUSE {
            observed.stale_until = Some(now + RECOVERY_TIME);
        }
        observed.stale_until.is_some_and(|until| now < until)
    }

    fn observed(&self) -> MutexGuard<'_, Observed> {
        self.observed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
