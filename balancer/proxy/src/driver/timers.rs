//! The timer queue and its lateness. Owns the queue; the timer loop runs the timers.
use balancer_core::RequestId;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Lateness from which a timer indicates that the program was stalled: stopped, or blocked in a long task.
const MIN_STALL: Duration = Duration::from_millis(20);
/// Input read within this time after a detected stall may have arrived during the stall.
const STALL_WINDOW: Duration = Duration::from_millis(20);

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt's number, counted from zero.
    pub number: u32,
}

impl AttemptId {
    /// Creates the id of an attempt.
    pub(super) fn new(request: RequestId, number: u32) -> AttemptId {
        AttemptId { request, number }
    }
}

/// What a timer is for.
pub(super) enum Timer {
    /// A timer of the decision module, with its token.
    Module(u32),
    /// The timeout of an attempt.
    Attempt(AttemptId),
    /// Closes upstream connections that have been idle for too long.
    SweepIdle,
    /// Saves the learned state of the module.
    PersistLearned,
}

/// The key of a timer in the queue: ordered by time, then by the order in which timers were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimerKey {
    /// When it is due.
    pub at: Instant,
    sequence: u64,
}

/// A timer that fired late.
struct Stall {
    detected_at: Instant,
    lateness: Duration,
}

/// The pending timers.
#[derive(Default)]
pub(super) struct Timers {
    queue: BTreeMap<TimerKey, Timer>,
    last_sequence: u64,
    last_stall: Option<Stall>,
}

impl Timers {
    /// Sets a timer.
    pub(super) fn set(&mut self, at: Instant, timer: Timer) -> TimerKey {
        self.last_sequence += 1;
        let key = TimerKey {
            at,
            sequence: self.last_sequence,
        };
        self.queue.insert(key, timer);
        key
    }

    /// Cancels a timer, if it has not fired.
    pub(super) fn cancel(&mut self, key: TimerKey) {
        self.queue.remove(&key);
    }

    /// Returns when the next timer is due.
    pub(super) fn next_timeout(&self) -> Option<Instant> {
        self.queue.first_key_value().map(|(key, _)| key.at)
    }

    /// Removes the next timer, and records a stall if it is late.
    pub(super) fn pop(&mut self, now: Instant) -> Option<Timer> {
        // The first of the due timers is the latest, so it shows the full duration of the stall.
        let lateness = self.lateness(now);
        if lateness >= MIN_STALL && lateness > self.recent_stall(now) {
            self.last_stall = Some(Stall {
                detected_at: now,
                lateness,
            });
        }
        Some(self.queue.pop_first()?.1)
    }

    /// Returns how late the next timer is.
    fn lateness(&self, now: Instant) -> Duration {
        self.next_timeout()
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Returns the duration of a stall detected within [`STALL_WINDOW`], or zero.
    fn recent_stall(&self, now: Instant) -> Duration {
        self.last_stall
            .as_ref()
            .filter(|stall| now - stall.detected_at < STALL_WINDOW)
            .map_or(Duration::ZERO, |stall| stall.lateness)
    }

    /// Returns how long input that is read now may have been waiting because the program was stalled. Includes a stall
    /// whose late timers have not fired yet.
    pub(super) fn stalled_for(&self, now: Instant) -> Duration {
        let stalled = self.recent_stall(now).max(self.lateness(now));
        if stalled < MIN_STALL {
            Duration::ZERO
        } else {
            stalled
        }
    }
}
