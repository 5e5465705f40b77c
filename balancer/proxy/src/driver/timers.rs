//! What is due when, and what is done then. Owns no state.
use super::state::{Driver, Due, Handle};
use balancer_core::{Ending, Event};
use std::time::Duration;
use tokio::time::Instant;

/// How often idle connections are looked through. There is always a timer due within this, so that a program that has
/// stood still finds one overdue by as much, but for this.
const SWEEP: Duration = Duration::from_millis(100);
/// Timers that are later than this show that the program stood still: stopped, or in one long turn.
const STALL_LEAST: Duration = Duration::from_millis(20);
/// What is read this soon after a stall was noticed may have come during it.
const STALL_SHOWS: Duration = Duration::from_millis(20);

impl Handle {
    /// Fires timers for ever.
    pub(crate) async fn run(&self) {
        {
            let mut d = self.0.driver.borrow_mut();
            d.set_timer(Instant::now() + SWEEP, Due::Sweep);
            d.keep_later();
        }
        loop {
            let next = self
                .0
                .driver
                .borrow()
                .timers
                .first_key_value()
                .map(|(&(at, _), _)| at);
            match next {
                Some(at) if at <= Instant::now() => self.fire(),
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(at) => {}
                    () = self.0.timers.notified() => {}
                },
                None => self.0.timers.notified().await,
            }
        }
    }

    pub(super) fn fire(&self) {
        let Some(due) = self.0.driver.borrow_mut().pop_timer(Instant::now()) else {
            return;
        };
        match due {
            Due::Module(token) => self.feed(Event::Timer(token)),
            Due::Attempt(id, number) => self.ended(id, number, Ending::Timeout, None),
            Due::Sweep => {
                let mut d = self.0.driver.borrow_mut();
                let now = Instant::now();
                for (upstream, ..) in d.upstreams.values() {
                    upstream.sweep(now, d.transport.idle);
                }
                d.set_timer(now + SWEEP, Due::Sweep);
            }
            Due::Keep => {
                let mut d = self.0.driver.borrow_mut();
                // What comes in while it ends says little of what it will meet when it starts again.
                if d.ends.is_none() {
                    d.keep_learned();
                    d.keep_later();
                }
            }
        }
    }
}

impl Driver {
    pub(super) fn set_timer(&mut self, at: Instant, due: Due) -> (Instant, u64) {
        self.timer_seq += 1;
        self.timers.insert((at, self.timer_seq), due);
        (at, self.timer_seq)
    }

    fn pop_timer(&mut self, now: Instant) -> Option<Due> {
        // Of all timers that became due meanwhile the first tells most.
        let late = self.overdue(now);
        if late >= STALL_LEAST && late > self.recent_stall(now) {
            self.stall = Some((now, late));
        }
        Some(self.timers.pop_first()?.1)
    }

    /// How long the timer that is due next has been due.
    fn overdue(&self, now: Instant) -> Duration {
        let next = self.timers.first_key_value();
        next.map_or(Duration::ZERO, |(&(at, _), _)| {
            now.saturating_duration_since(at)
        })
    }

    /// How late a timer fired a moment ago.
    fn recent_stall(&self, now: Instant) -> Duration {
        let recent = self
            .stall
            .filter(|(noticed, _)| now - *noticed < STALL_SHOWS);
        recent.map_or(Duration::ZERO, |(_, late)| late)
    }

    /// How long what is read now may have lain unread because the program stood still. Its timers may not have been
    /// looked at since.
    pub(super) fn stood_still(&self, now: Instant) -> Duration {
        let waited = self.recent_stall(now).max(self.overdue(now));
        if waited < STALL_LEAST {
            Duration::ZERO
        } else {
            waited
        }
    }
}
