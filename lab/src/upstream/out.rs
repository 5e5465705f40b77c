//! An attempt that is in work, and the booking of its end.
use super::emulated::Upstream;
use crate::experiment::Millis;
use crate::machine::Token;
use crate::net::{lock, Link};
use crate::oracle::End;
use crate::world::World;
use hyper::StatusCode;

/// An attempt that is in work: books its end, whatever it is.
pub(super) struct Out<'a> {
    pub(super) upstream: &'a Upstream,
    pub(super) world: &'a World,
    pub(super) id: u64,
    pub(super) number: usize,
    pub(super) link: &'a Link,
    /// Changes of the link when it began: one since then hides when it ended.
    pub(super) changes: u64,
    pub(super) token: Option<Token>,
    pub(super) work: f64,
    /// When it came, and its tenant.
    pub(super) came: Millis,
    pub(super) tenant: usize,
}

impl Out<'_> {
    /// Ends with an answer; a served one gets its mark.
    pub(super) fn seal(mut self, status: StatusCode, declined: bool) -> Option<u64> {
        let mark = self.id.rotate_left(17) ^ self.number as u64;
        let end = match status {
            StatusCode::OK => End::Served(mark),
            _ if declined => End::Declined,
            _ => End::Error,
        };
        self.book(end);
        (status == StatusCode::OK).then_some(mark)
    }

    fn book(&mut self, end: End) {
        let now = self.world.now();
        let hidden = self.link.is_silent() || *self.link.changes().borrow() != self.changes;
        lock(&self.world.oracle).attempt_ended(now, self.id, self.number, end, hidden);
        {
            let mut tally = lock(&self.world.tally);
            let second = tally.second(now);
            second.worked += self.work;
            second.held[self.tenant] += now - self.came;
            second.wasted += if matches!(end, End::Served(_)) {
                0.0
            } else {
                self.work
            };
        }
        if let Some(token) = self.token.take() {
            let mut state = lock(&self.upstream.state);
            state.waiters.remove(&token);
            state.machine.drop_work(now, token);
            if let Some(next) = state.machine.leave(now, token) {
                if let Some(waiter) = state.waiters.remove(&next) {
                    // Whoever waited may have gone.
                    let _ = waiter.send(());
                }
            }
            drop(state);
            self.upstream.wake.notify_one();
        }
        self.number = usize::MAX;
    }
}

impl Drop for Out<'_> {
    fn drop(&mut self) {
        if self.number != usize::MAX {
            self.book(End::Closed);
        }
    }
}
