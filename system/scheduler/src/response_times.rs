//! How long workers take to reply, and from that the timeout of calls that are replied to at once.
//!
//! A fixed timeout that is too short for a busy coordinator would have it repeat everything, and be busier still. Mean and
//! deviation are smoothed as in RFC 6298; where most calls time out the timeout is stretched.
use magpiegap_protocol::Millis;

/// Timeouts are never shorter than this.
const MIN_TIMEOUT_MS: f64 = 110.0;
/// Timeouts are never longer than this.
const MAX_TIMEOUT_MS: f64 = 700.0;
/// What is added to the mean and the deviations.
const MARGIN_MS: f64 = 50.0;
/// How many deviations are added to the mean.
const DEVIATIONS: f64 = 4.0;
/// The weight of one call in the mean, the deviation and the share of calls without a reply.
const GAIN: f64 = 0.05;
/// While more than this share of calls has no reply, replies are taken for late, not for lost.
const LOST_SHARE: f64 = 0.6;
/// By how much a call without a reply then stretches the timeout.
const STRETCH: f64 = 1.1;
/// By how much a reply shrinks a stretched timeout.
const SHRINK: f64 = 0.97;
/// The timeout is stretched by this factor at most.
const MAX_STRETCH: f64 = 8.0;

/// The smoothed response time over all workers, and its deviation.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimes {
    mean_ms: f64,
    deviation_ms: f64,
    /// The share of calls that had no reply in time.
    unanswered_share: f64,
    stretch: f64,
}

impl Default for ResponseTimes {
    /// Nothing is known yet, and all workers are called at once: the first replies may take long.
    fn default() -> Self {
        ResponseTimes {
            mean_ms: 50.0,
            deviation_ms: 60.0,
            unanswered_share: 0.0,
            stretch: 1.0,
        }
    }
}

impl ResponseTimes {
    /// Records the response time of a call that is replied to at once.
    pub fn record_reply(&mut self, elapsed_ms: Millis) {
        let difference = elapsed_ms as f64 - self.mean_ms;
        self.mean_ms += GAIN * difference;
        self.deviation_ms += GAIN * (difference.abs() - self.deviation_ms);
        self.unanswered_share -= GAIN * self.unanswered_share;
        self.stretch = (self.stretch * SHRINK).max(1.0);
    }

    /// Records a call that had no reply in time.
    pub fn record_timeout(&mut self) {
        self.unanswered_share += GAIN * (1.0 - self.unanswered_share);
        if self.unanswered_share > LOST_SHARE {
            self.stretch = (self.stretch * STRETCH).min(MAX_STRETCH);
        }
    }

    /// The timeout of a call, in milliseconds: 110 to 700.
    pub fn timeout_ms(&self) -> Millis {
        let smoothed_ms = self.mean_ms + DEVIATIONS * self.deviation_ms + MARGIN_MS;
        (smoothed_ms.max(MIN_TIMEOUT_MS) * self.stretch).min(MAX_TIMEOUT_MS) as Millis
    }
}
