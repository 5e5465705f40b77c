//! The loop that fires timers. Owns no state.
use super::attempts::AttemptResult;
use super::state::Handle;
use super::timers::Timer;
use balancer_core::{Ending, Event};
use std::time::Duration;
use tokio::time::Instant;

/// Interval of the sweep of idle connections. A timer is always due within this interval, so a stall of the program
/// shows as a timer that is late by the duration of the stall minus at most this interval.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

impl Handle {
    /// Fires timers forever.
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
        // The load during the shutdown is not representative of the load after the next start.
        if driver.shutdown_deadline.is_none() {
            driver.persist_learned();
            driver.schedule_persist();
        }
    }
}
