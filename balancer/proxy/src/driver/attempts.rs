//! Attempts that are out, from their send to the one end that counts. Owns no state.
use super::state::{Attempt, Driver, Due, Handle};
use crate::figures::{name_of, Ended as How};
use crate::message::Answer;
use crate::upstreams::Ended;
use balancer_core::{Ending, Event, Millis, RequestId, UpstreamId};
use std::time::Duration;
use tokio::time::Instant;

impl Handle {
    pub(super) fn send(
        &self,
        d: &mut Driver,
        id: RequestId,
        to: UpstreamId,
        times: (Millis, Millis),
    ) {
        let (timeout, write_by) = times;
        let (now, now_ms) = (Instant::now(), d.now());
        let stood_still = d.stood_still(now).as_secs_f64() * 1000.0;
        let Some(open) = d.open.get_mut(&id) else {
            return;
        };
        let number = open.sends;
        if number == 0 {
            // The first attempt follows the request at once: its client has waited while the program stood still.
            open.deadline -= stood_still;
        }
        open.sends += 1;
        let target = d.upstreams.get(&to).map(|(u, ..)| u.clone());
        let (Some(target), true) = (target, open.reply.is_some()) else {
            let closed = open.reply.is_none();
            let ending = Ending::Moot;
            d.events.push_back(Event::Outcome {
                request: id,
                attempt: number,
                ending,
                duration: 0.0,
                closed,
            });
            return;
        };
        let left = (open.deadline - now_ms).max(0.0);
        let wait = if timeout > 0.0 {
            timeout.min(left)
        } else {
            left
        };
        let until = now + Duration::from_secs_f64(wait / 1000.0);
        // An attempt that may not be written any more is over then, so that this bounds its dial as well.
        let write_by = now + Duration::from_secs_f64((write_by - now_ms).clamp(0.0, wait) / 1000.0);
        open.running += 1;
        let out = open.out.clone();
        let (transport, handle) = (d.transport.clone(), self.clone());
        if target.oldest_idle().is_none() && transport.sockets.exhausted() {
            d.free_socket();
        }
        let task = tokio::task::spawn_local(async move {
            let Ended {
                ending,
                answer,
                held,
                served,
            } = transport.attempt(target, out, (write_by, until)).await;
            if let Some(held) = held {
                handle.feed(Event::Load { upstream: to, held });
            }
            if let Some(per_s) = served {
                handle.feed(Event::Served {
                    upstream: to,
                    per_s,
                });
            }
            handle.ended(id, number, ending, answer);
        });
        let due = d.set_timer(until, Due::Attempt(id, number));
        d.note_attempt(id, number, to);
        let attempt = Attempt {
            upstream: to,
            sent: now,
            task: task.abort_handle(),
            due,
        };
        d.attempts.insert((id, number), attempt);
        self.0.timers.notify_one();
    }

    /// An attempt has ended: tells the module, unless an earlier end of it counts.
    pub(super) fn ended(&self, id: RequestId, number: u32, ending: Ending, answer: Option<Answer>) {
        let event = self.0.driver.borrow_mut().end(id, number, ending, answer);
        if let Some(event) = event {
            self.feed(event);
        }
    }
}

impl Driver {
    /// Books the end of an attempt; only the first one counts. What still runs for it stops, and its connection
    /// is closed. The event is the module's one outcome for its send.
    pub(super) fn end(
        &mut self,
        id: RequestId,
        number: u32,
        ending: Ending,
        answer: Option<Answer>,
    ) -> Option<Event> {
        let attempt = self.attempts.remove(&(id, number))?;
        attempt.task.abort();
        self.timers.remove(&attempt.due);
        self.forget_upstream(attempt.upstream);
        let duration = attempt.sent.elapsed().as_secs_f64() * 1000.0;
        if let Some(f) = &mut self.figures {
            f.attempt_ended(ending, duration);
        }
        if self.watched() {
            let request = self.open.get(&id).map_or("", |open| open.out.id());
            let reason = name_of(ending);
            tracing::debug!(target: "attempts", event = "attempt_ended", request, attempt = number, reason, ms = duration);
        }
        let mut served = false;
        let mut closed = true;
        if let Some(open) = self.open.get_mut(&id) {
            open.running -= 1;
            if let Some((reply, answer)) = answer.and_then(|a| Some((open.end()?, a))) {
                served = true;
                // A client that left in the same instant gets nothing; it is no longer owed anything.
                let _ = reply.send(answer);
            }
            closed = open.reply.is_none();
        }
        if served {
            self.note_ended(id, How::Served);
        }
        self.forget(id);
        Some(Event::Outcome {
            request: id,
            attempt: number,
            ending,
            duration,
            closed,
        })
    }

    /// Attempts that would be waited for past this time are given up then.
    pub(super) fn cut_attempts(&mut self, at: Instant) {
        let late = self
            .attempts
            .iter()
            .filter(|(_, a)| a.due.0 > at)
            .map(|(&key, _)| key);
        for (id, number) in late.collect::<Vec<_>>() {
            let due = self.set_timer(at, Due::Attempt(id, number));
            if let Some(attempt) = self.attempts.get_mut(&(id, number)) {
                self.timers
                    .remove(&std::mem::replace(&mut attempt.due, due));
            }
        }
    }
}
