//! Announces changes of upstreams to the discovery agents, with a separate delay for each agent. Owns the number of
//! changes of each upstream.
use crate::agent::{Entry, Start, State};
use crate::draw::Draws;
use crate::experiment::{Millis, Span};
use crate::fleet::Fleet;
use crate::net::lock;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Counts of the announcements about one upstream.
#[derive(Clone, Copy, Default)]
struct Announced {
    /// Changes so far; agents apply them in this order.
    changes: u64,
    /// How often its machine was replaced.
    replacements: usize,
}

/// Announces changes of upstreams to the discovery agents.
#[derive(Default)]
pub(super) struct Announcements {
    upstreams: Mutex<HashMap<usize, Announced>>,
}

/// Draws a time from a span, with a resolution of a thousandth of the span.
fn draw_delay(draws: &mut Draws, span: Span) -> Millis {
    let unit = (draws.seed() % 1000) as f64 / 1000.0;
    span.0.least + unit * (span.0.most - span.0.least)
}

impl Announcements {
    /// Records that the machine of an upstream was replaced: later announcements use a new id.
    pub(super) fn record_replacement(&self, upstream: usize) {
        lock(&self.upstreams)
            .entry(upstream)
            .or_default()
            .replacements += 1;
    }

    /// Announces an upstream's state to each agent of its tier, after `delay` plus a spread drawn for each agent.
    pub(super) fn announce(&self, fleet: &Arc<Fleet>, upstream: usize, state: State, delay: Span) {
        let world = &fleet.world;
        let announced = self.count_change(upstream);
        let change = announced.changes;
        let seed = world.plan.seed ^ (upstream as u64) << 20 ^ change;
        let mut draws = Draws::new(seed);
        let entry = entry(fleet, upstream, state, announced.replacements);
        let delay = draw_delay(&mut draws, delay);
        let tier = world.plan.upstreams[upstream].tier;
        for (balancer, agent) in fleet.agents.iter().enumerate() {
            if world.plan.balancers[balancer].tier != tier {
                continue;
            }
            let spread = draw_delay(&mut draws, world.experiment.discovery.spread);
            let at = world.now() + (delay + spread);
            let (agent, world, entry) = (agent.clone(), world.clone(), entry.clone());
            tokio::spawn(async move {
                world.clock.until(at).await;
                tracing::debug!(balancer, upstream = %entry.id, "discovery updated");
                agent.apply(entry, change);
            });
        }
    }

    fn count_change(&self, upstream: usize) -> Announced {
        let mut upstreams = lock(&self.upstreams);
        let announced = upstreams.entry(upstream).or_default();
        announced.changes += 1;
        *announced
    }
}

fn entry(fleet: &Fleet, upstream: usize, state: State, replacements: usize) -> Entry {
    let emulated = &fleet.upstreams[upstream];
    let number = emulated.starts();
    Entry {
        upstream,
        id: emulated.id(replacements),
        state,
        start: Start {
            number,
            at: (number > 1).then(|| fleet.world.now()),
        },
    }
}
