//! The queue of timers, and how late they fire. Owns the queue; what a timer does is the loop's.
use balancer_core::RequestId;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Timers that are later than this show that the program was stalled: stopped, or in one long turn.
const MIN_STALL: Duration = Duration::from_millis(20);
/// What is read this soon after a stall was noticed may have come during it.
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
    /// Names an attempt.
    pub(super) fn new(request: RequestId, number: u32) -> AttemptId {
        AttemptId { request, number }
    }
}

/// What a timer is for.
pub(super) enum Timer {
    /// The decision module, with its token.
    Module(u32),
    /// The timeout of an attempt.
    Attempt(AttemptId),
    /// Closing connections that were idle for too long.
    SweepIdle,
    /// Persisting what the module has learned.
    PersistLearned,
}

/// A timer's place in the queue: its time, and then the order in which timers were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimerKey {
    /// When it is due.
    pub at: Instant,
    sequence: u64,
}

/// A timer that fired late.
struct Stall {
    noticed: Instant,
    lateness: Duration,
}

/// The timers that are set.
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

    /// Takes the next timer out, and notes a stall if it is late.
    pub(super) fn pop(&mut self, now: Instant) -> Option<Timer> {
        // Of all timers that became due meanwhile the first shows most.
        let lateness = self.lateness(now);
        if lateness >= MIN_STALL && lateness > self.recent_stall(now) {
            self.last_stall = Some(Stall {
                noticed: now,
                lateness,
            });
        }
        Some(self.queue.pop_first()?.1)
    }

    /// Returns for how long the next timer has been due.
    fn lateness(&self, now: Instant) -> Duration {
        self.next_timeout()
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Returns how late a timer fired a moment ago.
    fn recent_stall(&self, now: Instant) -> Duration {
        self.last_stall
            .as_ref()
            .filter(|stall| now - stall.noticed < STALL_WINDOW)
            .map_or(Duration::ZERO, |stall| stall.lateness)
    }

    /// Returns how long what is read now may have lain unread because the program was stalled. Its timers may not have
    /// been looked at since.
    pub(super) fn stalled_for(&self, now: Instant) -> Duration {
        let stalled = self.recent_stall(now).max(self.lateness(now));
        if stalled < MIN_STALL {
            Duration::ZERO
        } else {
            stalled
        }
    }
}
