//! What outlives the program goes out from here and comes back. Owns no state.
use super::state::{Driver, Due, Handle};
use crate::recovery::Recovery;
use balancer_core::{Event, Learned, Millis};
use balancer_snapshots::writer::Written;
use tokio::time::Instant;

impl Handle {
    /// What became of writes of what outlives the program, if anything does.
    pub(crate) fn kept(&self) -> Option<Written> {
        self.0
            .driver
            .borrow()
            .recovery
            .as_ref()
            .map(Recovery::written)
    }

    /// Waits a little until what outlives the program is on the disk.
    pub(crate) fn flush(&self) {
        if let Some(recovery) = &self.0.driver.borrow().recovery {
            // Where it is not, the next start has the one before.
            recovery.flush();
        }
    }

    /// Hands back what an earlier run of this balancer had learned.
    pub(crate) fn restored(&self, learned: Learned, age: Millis) {
        self.feed(Event::Restored {
            learned: Box::new(learned),
            age,
        });
    }
}

impl Driver {
    pub(super) fn keep_later(&mut self) {
        if let Some(every) = self.recovery.as_ref().map(Recovery::every) {
            self.set_timer(Instant::now() + every, Due::Keep);
        }
    }

    /// Keeps what the decisions have learned. Before the first list they have not learned anything.
    pub(super) fn keep_learned(&mut self) {
        let now = self.now();
        if let Some(recovery) = self.recovery.as_ref().filter(|_| self.listed) {
            recovery.learned(self.balancer.learned(now));
        }
    }
}
