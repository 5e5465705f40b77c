//! One try of a request, with its attempts: what the rules on requests look at.
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
    pub over: Option<Millis>,
    pub served: Vec<u64>,
}

impl ClientCall {
    /// Whether an attempt of it may have run.
    pub(super) fn ran(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }
}
