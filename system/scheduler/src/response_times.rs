//! How long workers take to answer, and from that how long to wait for an answer: a fixed wait that is too short for a
//! busy coordinator would have it repeat everything, and be busier still.
use magpiegap_protocol::Millis;

/// Answers are never waited for less long than this.
const MIN_TIMEOUT_MS: f64 = 110.0;
/// Answers are never waited for longer than this.
const MAX_TIMEOUT_MS: f64 = 700.0;
/// What is added to the usual time and its spread.
const MARGIN_MS: f64 = 50.0;
/// How many times the usual spread is allowed for.
const DEVIATIONS: f64 = 4.0;
/// The weight of one call in what is usual.
const GAIN: f64 = 0.05;
/// While more than this share of calls is not answered, answers are taken for late, not for lost.
const LOST_SHARE: f64 = 0.6;
/// By how much an unanswered call then stretches the wait.
const STRETCH: f64 = 1.1;
/// By how much an answer shrinks a stretched wait.
const SHRINK: f64 = 0.97;
/// The wait is stretched to this many times what is usual at most.
const MAX_STRETCH: f64 = 8.0;

/// The usual time until an answer and its spread, over all workers.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimes {
    mean_ms: f64,
    deviation_ms: f64,
    /// The share of calls that are not answered.
    unanswered: f64,
    stretch: f64,
}

impl Default for ResponseTimes {
    /// Nothing is known yet, and all workers are greeted at once: the first answers may take long.
    fn default() -> Self {
        ResponseTimes {
            mean_ms: 50.0,
            deviation_ms: 60.0,
            unanswered: 0.0,
            stretch: 1.0,
        }
    }
}

impl ResponseTimes {
    /// A call that is answered at once was answered after this long.
    pub fn answered(&mut self, after: Millis) {
        let difference = after as f64 - self.mean_ms;
        self.mean_ms += GAIN * difference;
        self.deviation_ms += GAIN * (difference.abs() - self.deviation_ms);
        self.unanswered -= GAIN * self.unanswered;
        self.stretch = (self.stretch * SHRINK).max(1.0);
    }

    /// A call was not answered in time.
    pub fn unanswered(&mut self) {
        self.unanswered += GAIN * (1.0 - self.unanswered);
        if self.unanswered > LOST_SHARE {
            self.stretch = (self.stretch * STRETCH).min(MAX_STRETCH);
        }
    }

    /// How long to wait for an answer.
    pub fn wait_ms(&self) -> Millis {
        let usual = self.mean_ms + DEVIATIONS * self.deviation_ms + MARGIN_MS;
        (usual.max(MIN_TIMEOUT_MS) * self.stretch).min(MAX_TIMEOUT_MS) as Millis
    }
}
