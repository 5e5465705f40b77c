//! The clock of a run, and the lateness of the lab itself.
use crate::experiment::Millis;
use crate::net::lock;
use hdrhistogram::Histogram;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Measures the time since the run began, and records the lab's own lateness.
pub struct Clock {
    made: Instant,
    made_unix: f64,
    /// When the run began, in microseconds since the clock was made.
    began: AtomicU64,
    late: Mutex<Histogram<u64>>,
}

/// The start of a run that has not begun, in microseconds: a day ahead, so that the current time is far below zero.
const NOT_BEGUN_US: u64 = 86_400_000_000;

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

impl Clock {
    /// Returns the clock of a run that has not begun.
    pub fn new() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0.0, |d| d.as_secs_f64() * 1000.0);
        let began = AtomicU64::new(NOT_BEGUN_US);
        Clock {
            made: Instant::now(),
            made_unix: unix,
            began,
            late: Mutex::new(histogram()),
        }
    }

    /// Sets the start of the run to `after` from now.
    pub fn begin_after(&self, after: Duration) {
        let at = (self.made.elapsed() + after).as_micros() as u64;
        self.began.store(at, Ordering::SeqCst);
    }

    fn began(&self) -> f64 {
        self.began.load(Ordering::SeqCst) as f64 / 1000.0
    }

    /// Milliseconds since the run began.
    pub fn now(&self) -> Millis {
        self.made.elapsed().as_secs_f64() * 1000.0 - self.began()
    }

    /// A point of the run as Unix time, in milliseconds.
    pub fn unix(&self, at: Millis) -> f64 {
        self.made_unix + self.began() + at
    }

    /// A point of the run as an instant for timers.
    pub fn instant(&self, at: Millis) -> Instant {
        let since = (self.began() + at).clamp(0.0, 1e12);
        self.made + Duration::from_secs_f64(since / 1000.0)
    }

    /// Waits until a point of the run.
    pub async fn until(&self, at: Millis) {
        tokio::time::sleep_until(self.instant(at)).await;
    }

    /// Records that the lab did something `by` milliseconds late.
    pub fn record_lateness(&self, by: Millis) {
        // The histogram holds up to a minute; longer times are recorded as a minute.
        lock(&self.late).saturating_record((by.max(0.0) * 1000.0) as u64);
    }

    /// The lab's lateness so far, in microseconds.
    pub fn lateness(&self) -> Histogram<u64> {
        lock(&self.late).clone()
    }
}

/// Returns a histogram for times in microseconds, up to a minute, with three significant digits.
pub fn histogram() -> Histogram<u64> {
    let bounds = Histogram::new_with_bounds(1, 60_000_000, 3);
    // The constant bounds are valid.
    bounds.unwrap_or_else(|_| unreachable!("constant bounds"))
}

/// Waits for a time; returns immediately if it is shorter than a millisecond.
pub async fn pause(span: Millis) {
    // The runtime's timers have a resolution of a millisecond and would extend a shorter time.
    if span >= 1.0 {
        tokio::time::sleep(Duration::from_secs_f64(span / 1000.0)).await;
    }
}
