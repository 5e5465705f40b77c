//! State that outlives the process: saved to the recovery store and restored after a start. Owns no state.
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

    /// Waits for a bounded time until all saved state is on disk.
    pub(crate) fn flush(&self) {
        if let Some(recovery) = &self.0.driver.borrow().recovery {
            // If the wait times out, the next start restores the previous record.
            recovery.flush();
        }
    }

    /// Restores the module's learned state from an earlier run, with its age.
    pub(crate) fn restore_learned(&self, learned: Learned, age: Millis) {
        self.feed(Event::Restored {
            learned: Box::new(learned),
            age,
        });
    }
}

impl Driver {
    /// Sets the timer for the next save of the learned state, if recovery is on.
    pub(super) fn schedule_persist(&mut self) {
        if let Some(interval) = self.recovery.as_ref().map(Recovery::learned_interval) {
            self.timers
                .set(Instant::now() + interval, Timer::PersistLearned);
        }
    }

    /// Saves the learned state of the module. Before the first list there is none.
    pub(super) fn persist_learned(&mut self) {
        let now = self.now();
        if let Some(recovery) = self.recovery.as_ref().filter(|_| self.has_endpoints) {
            recovery.save_learned(self.balancer.learned(now));
        }
    }
}
