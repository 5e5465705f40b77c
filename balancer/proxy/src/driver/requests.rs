//! Requests that are open, from the moment they are taken to their one final answer. Owns no state.
use super::state::{Driver, Handle, Open};
use crate::figures::Ended as How;
use crate::message::{Answer, Outgoing};
use balancer_core::{Event, Millis, Request, RequestId};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time for the last answer to reach the client before it stops waiting.
const ANSWER_MARGIN: Millis = 5.0;

/// A request that waits for its final answer. Dropping it tells the module that the client is gone.
pub(crate) struct Waiting {
    handle: Handle,
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    done: bool,
}

impl Waiting {
    /// The final answer.
    pub(crate) async fn answer(mut self) -> Answer {
        let answer = (&mut self.answer).await.unwrap_or(Answer::Failed);
        self.done = true;
        answer
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.done {
            self.handle.client_gone(self.id);
        }
    }
}

impl Handle {
    /// Which tenant's connection is to make way, by how many each holds.
    pub(crate) fn furthest_over(&self, held: &[u32]) -> Option<usize> {
        self.0.driver.borrow().balancer.furthest_over(held)
    }

    /// Requests that have no final answer yet.
    pub(crate) fn open(&self) -> usize {
        self.0
            .driver
            .borrow()
            .open
            .values()
            .filter(|o| o.reply.is_some())
            .count()
    }

    /// Takes a request: from now on one final answer is owed. `None`: more are open than may be.
    pub(crate) fn take(
        &self,
        class: usize,
        tenant: usize,
        patience: Millis,
        out: Outgoing,
    ) -> Option<Waiting> {
        let (reply, answer) = oneshot::channel();
        let (id, deadline, tie) = {
            let mut d = self.0.driver.borrow_mut();
            if let Some(f) = &mut d.figures {
                f.taken();
            }
            if d.open.len() >= d.max_open {
                if let Some(f) = &mut d.figures {
                    f.ended(How::Full, 0.0);
                }
                return None;
            }
            while d.open.contains_key(&RequestId(d.next_id)) {
                d.next_id = d.next_id.wrapping_add(1);
            }
            let id = RequestId(d.next_id);
            d.next_id = d.next_id.wrapping_add(1);
            let deadline = d.now() + (patience - ANSWER_MARGIN).max(0.0);
            let deadline = d.ends.map_or(deadline, |ends| deadline.min(ends));
            tracing::debug!(target: "requests", event = "request_taken", request = out.id(), class, tenant);
            let tie = out.tie();
            let (taken, out) = (d.watched().then(Instant::now), Rc::new(out));
            let open = Open {
                reply: Some(reply),
                out,
                taken,
                deadline,
                sends: 0,
                running: 0,
            };
            d.open.insert(id, open);
            (id, deadline, tie)
        };
        self.feed(Event::Request(Request {
            id,
            class,
            tenant,
            deadline,
            tie,
        }));
        Some(Waiting {
            handle: self.clone(),
            id,
            answer,
            done: false,
        })
    }

    /// Every request that is open, and every one that still comes, gets its final answer by `end`, however long its
    /// client would wait.
    pub(crate) fn end_by(&self, end: Instant) {
        let at = end - Duration::from_secs_f64(ANSWER_MARGIN / 1000.0);
        let by = {
            let mut d = self.0.driver.borrow_mut();
            let by = d.start_ms + at.saturating_duration_since(d.start).as_secs_f64() * 1000.0;
            d.open
                .values_mut()
                .for_each(|o| o.deadline = o.deadline.min(by));
            d.cut_attempts(at);
            d.ends = Some(by);
            d.keep_learned();
            by
        };
        self.feed(Event::EndBy(by));
        self.0.timers.notify_one();
    }

    pub(super) fn client_gone(&self, id: RequestId) {
        {
            let mut d = self.0.driver.borrow_mut();
            // Answered in the same instant: the module has ended it already.
            if d.open.get_mut(&id).and_then(Open::end).is_none() {
                return;
            }
            d.note_ended(id, How::Left);
            d.forget(id);
        }
        self.feed(Event::ClientDisconnected(id));
    }
}

impl Driver {
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer, how: How) {
        if let Some(reply) = self.open.get_mut(&id).and_then(Open::end) {
            // A client that left in the same instant gets nothing; it is no longer owed anything.
            let _ = reply.send(answer);
            self.note_ended(id, how);
        }
        self.forget(id);
    }

    /// Forgets a request that is answered and has nothing out.
    pub(super) fn forget(&mut self, id: RequestId) {
        if self
            .open
            .get(&id)
            .is_some_and(|o| o.reply.is_none() && o.running == 0)
        {
            self.open.remove(&id);
        }
    }
}
