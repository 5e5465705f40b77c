//! Tells discovery's agents of changes, each a little later. Owns the number of changes of each upstream.
use crate::agent::{Entry, State};
use crate::draw::Calls;
use crate::experiment::Span;
use crate::fleet::Fleet;
use crate::net::lock;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Tells every agent of changes, each a little later.
#[derive(Default)]
pub(super) struct News {
    /// Changes of each upstream so far, and how often it was replaced.
    numbers: Mutex<HashMap<usize, (u64, usize)>>,
}

impl News {
    /// The machine of an upstream is replaced: it has a new id from now on.
    pub(super) fn replaced(&self, upstream: usize) {
        lock(&self.numbers).entry(upstream).or_default().1 += 1;
    }

    /// Tells of an upstream's state after `delay`.
    pub(super) fn tell(&self, fleet: &Arc<Fleet>, upstream: usize, state: State, delay: Span) {
        let world = &fleet.world;
        let (number, replaced) = {
            let mut numbers = lock(&self.numbers);
            let entry = numbers.entry(upstream).or_default();
            entry.0 += 1;
            *entry
        };
        let u = &fleet.upstreams[upstream];
        let starts = u.starts();
        let started = (starts > 1).then(|| world.now());
        let mut drawn = Calls::new(world.plan.seed ^ (upstream as u64) << 20 ^ number);
        let mut span = |s: Span| {
            // Three digits are enough for a delay.
            let unit = (drawn.seed() % 1000) as f64 / 1000.0;
            s.0.least + unit * (s.0.most - s.0.least)
        };
        let delay = span(delay);
        let tier = world.plan.upstreams[upstream].tier;
        for (b, agent) in fleet
            .agents
            .iter()
            .enumerate()
            .filter(|(b, _)| world.plan.balancers[*b].tier == tier)
        {
            let later = delay + span(world.experiment.discovery.spread);
            let entry = Entry {
                upstream,
                id: u.id(replaced),
                state,
                start: (starts, started),
            };
            let at = world.now() + later;
            let (agent, world) = (agent.clone(), world.clone());
            tokio::spawn(async move {
                world.clock.until(at).await;
                tracing::debug!(balancer = b, upstream = %entry.id, "told");
                agent.apply(entry, number);
            });
        }
    }
}
