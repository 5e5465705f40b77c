//! Clients: what each wants, the replicas that it tries, and the answers that it gets.
use super::schedule::Due;
use super::Tier;
use balancer_core::*;
use rand_core::RngCore;

/// What a client wants, over all its tries.
#[derive(Clone, Debug)]
pub(crate) struct Want {
    pub class: usize,
    pub tenant: usize,
    pub tie: u64,
    pub began: f64,
    pub tries: u32,
}

/// One final answer, as its client saw it.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub at: f64,
    pub copy: usize,
    pub want: Want,
    pub served: bool,
    pub retry_after: f64,
}

impl Tier {
    /// A client's try at any copy that is up.
    pub(super) fn ask(&mut self, want: Want) {
        let up: Vec<usize> = (0..self.copies.len())
            .filter(|&c| self.copies[c].up)
            .collect();
        let copy = up[self.rng.next_u64() as usize % up.len()];
        self.ask_at(copy, want);
    }

    pub(crate) fn ask_at(&mut self, copy: usize, want: Want) {
        self.number += 1;
        let id = RequestId(self.number as u32);
        let deadline = want.began + self.settings.classes[want.class].deadline;
        let (class, tenant, tie) = (want.class, want.tenant, want.tie);
        let c = &mut self.copies[copy];
        c.open.insert(id, (want, 0));
        self.event(
            copy,
            Event::Request(Request {
                id,
                class,
                tenant,
                deadline,
                tie,
            }),
        );
    }

    pub(super) fn refused(&mut self, copy: usize, request: RequestId, retry_after: f64) {
        let Some((want, _)) = self.copies[copy].open.remove(&request) else {
            return;
        };
        self.answers.push(Answer {
            at: self.now,
            copy,
            want: want.clone(),
            served: false,
            retry_after,
        });
        let pause = if retry_after > 0.0 {
            retry_after
        } else {
            100.0
        };
        let deadline = want.began + self.settings.classes[want.class].deadline;
        if want.tries < self.tries && self.now + pause < deadline {
            self.after(
                pause,
                Due::Try(Want {
                    tries: want.tries + 1,
                    ..want
                }),
            );
        }
    }
}
