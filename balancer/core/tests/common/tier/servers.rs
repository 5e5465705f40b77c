//! Servers with slots and a queue, and the attempts that are out at them.
use super::schedule::Due;
use super::{Answer, Tier, QUEUE, SLOTS, TAKES};
use balancer_core::*;
use std::collections::VecDeque;

#[derive(Default)]
pub(super) struct Server {
    pub busy: usize,
    pub queue: VecDeque<u64>,
}

/// An attempt that is out.
pub(super) struct Out {
    pub copy: usize,
    pub request: RequestId,
    pub attempt: u32,
    pub server: usize,
    pub sent: f64,
}

impl Tier {
    pub(super) fn work(&mut self, server: usize) {
        let slow = (self.slow)(server, self.now);
        while slow.is_finite() && self.servers[server].busy < SLOTS {
            let Some(out) = self.servers[server].queue.pop_front() else {
                break;
            };
            self.servers[server].busy += 1;
            let takes = TAKES * slow * (0.5 + self.unit());
            self.after(takes, Due::Done(server, out));
        }
    }

    /// A server works on a call to its end, wanted or not.
    pub(super) fn ended(&mut self, out: u64, ending: Ending) {
        let Some(Out {
            copy,
            request,
            attempt,
            sent,
            ..
        }) = self.outs.remove(&out)
        else {
            return;
        };
        let closed = ending == Ending::Ok;
        let (want, duration) = (
            self.copies[copy].open.get(&request).cloned(),
            self.now - sent,
        );
        self.event(
            copy,
            Event::Outcome {
                request,
                attempt,
                ending,
                duration,
                closed,
            },
        );
        if let Some((want, _)) = want.filter(|_| closed) {
            self.copies[copy].open.remove(&request);
            self.answers.push(Answer {
                at: self.now,
                copy,
                want,
                served: true,
                retry_after: 0.0,
            });
        }
    }

    pub(super) fn send(
        &mut self,
        copy: usize,
        request: RequestId,
        upstream: UpstreamId,
        timeout: f64,
    ) {
        let server = upstream.0 as usize;
        let c = &mut self.copies[copy];
        let (want, sends) = c.open.get_mut(&request).expect("an open request");
        let attempt = std::mem::replace(sends, *sends + 1);
        let left = want.began + self.settings.classes[want.class].deadline - self.now;
        self.sends.push((self.now, copy, upstream, attempt));
        self.number += 1;
        let out = self.number;
        self.outs.insert(
            out,
            Out {
                copy,
                request,
                attempt,
                server,
                sent: self.now,
            },
        );
        let timeout = if timeout > 0.0 {
            timeout.min(left)
        } else {
            left
        };
        self.after(timeout.max(0.0), Due::Timeout(out));
        if (self.slow)(server, self.now).is_finite() && self.servers[server].queue.len() >= QUEUE {
            return self.ended(out, Ending::Full);
        }
        self.servers[server].queue.push_back(out);
        self.work(server);
    }
}
