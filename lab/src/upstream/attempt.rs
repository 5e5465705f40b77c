//! An attempt in flight at an upstream, and the record of its end.
use super::emulated::Upstream;
use crate::experiment::Millis;
use crate::machine::Token;
use crate::net::{lock, Link};
use crate::oracle::End;
use crate::world::World;
use hyper::StatusCode;

/// How an attempt was served.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outcome {
    pub(super) status: StatusCode,
    /// The upstream was full: the attempt was rejected, and has not run.
    pub(super) declined: bool,
}

impl Outcome {
    pub(super) fn ran(status: StatusCode) -> Outcome {
        Outcome {
            status,
            declined: false,
        }
    }
}

/// An attempt in flight; records its end, also when its connection is dropped before the response.
pub(super) struct ActiveAttempt<'a> {
    pub(super) upstream: &'a Upstream,
    pub(super) world: &'a World,
    /// The id of the request.
    pub(super) id: u64,
    /// The number of the attempt among those of the request.
    pub(super) number: usize,
    pub(super) link: &'a Link,
    /// The link's change counter when the attempt began. If it has changed since, the balancer may have closed the
    /// attempt earlier than the lab saw.
    pub(super) link_changes: u64,
    /// The machine's token for it, once it is admitted.
    pub(super) token: Option<Token>,
    /// Work done for it, in milliseconds of a core.
    pub(super) work: f64,
    pub(super) began: Millis,
    /// Position of the tenant.
    pub(super) tenant: usize,
    /// Whether its end has been recorded.
    pub(super) ended: bool,
}

impl ActiveAttempt<'_> {
    /// Ends the attempt with a response; returns the mark of one that was served.
    pub(super) fn finish(mut self, outcome: Outcome) -> Option<u64> {
        let mark = self.id.rotate_left(17) ^ self.number as u64;
        let end = match outcome.status {
            StatusCode::OK => End::Served(mark),
            _ if outcome.declined => End::Declined,
            _ => End::Error,
        };
        self.record_end(end);
        (outcome.status == StatusCode::OK).then_some(mark)
    }

    fn record_end(&mut self, end: End) {
        let now = self.world.now();
        let hidden =
            self.link.is_unresponsive() || *self.link.changes().borrow() != self.link_changes;
        lock(&self.world.oracle).attempt_ended(now, self.id, self.number, end, hidden);
        self.count_work(now, end);
        if let Some(token) = self.token.take() {
            self.upstream.remove(now, token);
        }
        self.ended = true;
    }

    fn count_work(&self, now: Millis, end: End) {
        let mut tally = lock(&self.world.tally);
        let second = tally.second(now);
        second.worked += self.work;
        second.upstream_time[self.tenant] += now - self.began;
        if !matches!(end, End::Served(_)) {
            second.wasted += self.work;
        }
    }
}

impl Drop for ActiveAttempt<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.record_end(End::Closed);
        }
    }
}
