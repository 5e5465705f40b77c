//! What outlives the program: handed to the recovery store from here, and back to the module after a start. Owns no
//! state.
use super::state::{Driver, Handle};
use super::timers::Timer;
use crate::recovery::Recovery;
use balancer_core::{Event, Learned, Millis};
use balancer_snapshots::writer::Written;
use tokio::time::Instant;

impl Handle {
    /// Returns the counters of recovery writes, if recovery is on.
    pub(crate) fn recovery_writes(&self) -> Option<Written> {
        let driver = self.0.driver.borrow();
        driver.recovery.as_ref().map(Recovery::written)
    }

    /// Waits for a bounded time until what outlives the program is on the disk.
    pub(crate) fn flush(&self) {
        if let Some(recovery) = &self.0.driver.borrow().recovery {
            // Where it is not, the next start has the record before.
            recovery.flush();
        }
    }

    /// Hands the module what an earlier run of this balancer had learned, and its age.
    pub(crate) fn restore_learned(&self, learned: Learned, age: Millis) {
        self.feed(Event::Restored {
            learned: Box::new(learned),
            age,
        });
    }
}

impl Driver {
    /// Sets the timer of the next write of what was learned, if recovery is on.
    pub(super) fn schedule_persist(&mut self) {
        if let Some(interval) = self.recovery.as_ref().map(Recovery::learned_interval) {
            self.timers
                .set(Instant::now() + interval, Timer::PersistLearned);
        }
    }

    /// Persists what the decisions have learned. Before the first list they have not learned anything.
    pub(super) fn persist_learned(&mut self) {
        let now = self.now();
        if let Some(recovery) = self.recovery.as_ref().filter(|_| self.has_endpoints) {
            recovery.save_learned(self.balancer.learned(now));
        }
    }
}
