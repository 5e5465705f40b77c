//! What an instance knows, as it is kept for a later one.
use super::Balancer;
use crate::interface::{Learned, Millis};

/// What is kept of all that an instance knows, where `usable` is the part of upstreams that can be used.
pub(crate) fn learned(of: &Balancer, usable: f64, now: Millis) -> Learned {
    let (a, c, f) = (&of.admission, &of.capacity, &of.fleet);
    let called = f
        .by_id
        .values()
        .map(|&i| &f.slots[i])
        .filter(|u| u.health.outcomes > 0);
    Learned {
        at: now,
        load: c.load,
        upstreams_max: f.most,
        upstreams_usable: usable,
        answer: f.answers.latency,
        deviation: f.answers.deviation,
        demands: a
            .tenants
            .iter()
            .map(|t| t.seen.then_some(t.demand))
            .collect(),
        kinds: f.answers.kinds.clone(),
        rest_lost: f.rested.lost.to_vec(),
        upstreams: called
            .map(|u| (u.member.id, u.member.since, u.health))
            .collect(),
    }
}
