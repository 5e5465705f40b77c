//! The loop that fires timers. Owns no state.
use super::attempts::AttemptResult;
use super::state::Handle;
use super::timers::Timer;
use balancer_core::{Ending, Event};
use std::time::Duration;
use tokio::time::Instant;

/// How often idle connections are swept. There is always a timer due within this, so that a program that was stalled
/// finds one overdue by the stall, less this interval.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

impl Handle {
    /// Fires timers for ever.
    pub(crate) async fn run(&self) {
        self.start_periodic_timers();
        loop {
            let next = self.0.driver.borrow().timers.next_timeout();
            match next {
                Some(at) if at <= Instant::now() => self.fire_next(),
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(at) => {}
                    () = self.0.timers_changed.notified() => {}
                },
                None => self.0.timers_changed.notified().await,
            }
        }
    }

    fn start_periodic_timers(&self) {
        let mut driver = self.0.driver.borrow_mut();
        driver
            .timers
            .set(Instant::now() + SWEEP_INTERVAL, Timer::SweepIdle);
        driver.schedule_persist();
    }

    fn fire_next(&self) {
        let Some(timer) = self.0.driver.borrow_mut().timers.pop(Instant::now()) else {
            return;
        };
        match timer {
            Timer::Module(token) => self.feed(Event::Timer(token)),
            Timer::Attempt(id) => self.on_attempt_ended(id, AttemptResult::of(Ending::Timeout)),
            Timer::SweepIdle => self.sweep_idle(),
            Timer::PersistLearned => self.persist_learned(),
        }
    }

    fn sweep_idle(&self) {
        let mut driver = self.0.driver.borrow_mut();
        let now = Instant::now();
        for known in driver.upstreams.values() {
            known.upstream.sweep(now, driver.transport.idle_timeout);
        }
        driver.timers.set(now + SWEEP_INTERVAL, Timer::SweepIdle);
    }

    fn persist_learned(&self) {
        let mut driver = self.0.driver.borrow_mut();
        // What comes in during the shutdown says little of what the next start will meet.
        if driver.shutdown_deadline.is_none() {
            driver.persist_learned();
            driver.schedule_persist();
        }
    }
}
