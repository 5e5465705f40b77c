//! One client call and its attempts, as the rules on requests see them.
use super::facts::End;
use crate::experiment::Millis;

pub(super) struct Attempt {
    pub upstream: usize,
    pub began: Millis,
    pub end: Option<End>,
}

impl Attempt {
    pub(super) fn may_have_run(&self) -> bool {
        self.end != Some(End::Declined)
    }
}

pub(super) struct ClientCall {
    pub class: usize,
    pub balancer: usize,
    pub deadline: Millis,
    pub attempts: Vec<Attempt>,
    /// When it ended for its client.
    pub ended_at: Option<Millis>,
    /// Body markers of the successful responses that upstreams made for it.
    pub served: Vec<u64>,
}

impl ClientCall {
    /// Whether any of its attempts may have been executed.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }
}
