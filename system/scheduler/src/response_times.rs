//! Tracks the response times of workers and derives the timeout of calls that are replied to immediately.
//!
//! With a fixed timeout that is too short for a busy coordinator, it would retry every call and become busier still.
//! Mean and deviation are smoothed as in RFC 6298; the timeout backs off when most calls time out.
use magpiegap_protocol::Millis;

/// Lower bound of the timeout, before backoff.
const MIN_TIMEOUT_MS: f64 = 110.0;
/// Upper bound of the timeout.
const MAX_TIMEOUT_MS: f64 = 700.0;
/// Margin added to the mean and the deviations.
const MARGIN_MS: f64 = 50.0;
/// Number of deviations added to the mean.
const DEVIATIONS: f64 = 4.0;
/// Weight of one call in the mean, the deviation and the share of calls without a reply.
const SMOOTHING_FACTOR: f64 = 0.05;
/// If more than this share of calls time out, replies are assumed to be late instead of lost, and the timeout backs
/// off.
const MIN_BACKOFF_SHARE: f64 = 0.6;
/// Factor applied to the backoff for each call that then times out.
const BACKOFF_GROWTH: f64 = 1.1;
/// Factor applied to the backoff for each reply.
const BACKOFF_DECAY: f64 = 0.97;
/// Upper bound of the backoff.
const MAX_BACKOFF: f64 = 8.0;

/// The smoothed response time over all workers, and its deviation.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimes {
    mean_ms: f64,
    deviation_ms: f64,
    /// Smoothed share of calls that timed out.
    unanswered_share: f64,
    backoff: f64,
}

impl Default for ResponseTimes {
    /// Starts with a long timeout: all workers are called at once, so the first replies may be slow.
    fn default() -> Self {
        ResponseTimes {
            mean_ms: 50.0,
            deviation_ms: 60.0,
            unanswered_share: 0.0,
            backoff: 1.0,
        }
    }
}

impl ResponseTimes {
    /// Records the response time of a call that is replied to immediately.
    pub fn record_reply(&mut self, elapsed_ms: Millis) {
        let difference = elapsed_ms as f64 - self.mean_ms;
        self.mean_ms += SMOOTHING_FACTOR * difference;
        self.deviation_ms += SMOOTHING_FACTOR * (difference.abs() - self.deviation_ms);
        self.unanswered_share -= SMOOTHING_FACTOR * self.unanswered_share;
        self.backoff = (self.backoff * BACKOFF_DECAY).max(1.0);
    }

    /// Records a call that timed out.
    pub fn record_timeout(&mut self) {
        self.unanswered_share += SMOOTHING_FACTOR * (1.0 - self.unanswered_share);
        if self.unanswered_share > MIN_BACKOFF_SHARE {
            self.backoff = (self.backoff * BACKOFF_GROWTH).min(MAX_BACKOFF);
        }
    }

    /// The timeout of a call, in milliseconds, between 110 and 700.
    pub fn timeout_ms(&self) -> Millis {
        let smoothed_ms = self.mean_ms + DEVIATIONS * self.deviation_ms + MARGIN_MS;
        (smoothed_ms.max(MIN_TIMEOUT_MS) * self.backoff).min(MAX_TIMEOUT_MS) as Millis
    }
}
