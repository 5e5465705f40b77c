//! Draws the time and targets of each fault, and the build that each balancer starts with.
use super::parts::{Balancer, Party, PlannedFault, Upstream};
use super::streams::{draw, draw_span, stream, Stream};
use crate::experiment::{Experiment, FaultKind, Millis, Role, Target};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// All possible targets of faults in a run.
pub(super) struct Population<'a> {
    experiment: &'a Experiment,
    upstreams: &'a [Upstream],
    balancers: &'a [Balancer],
}

impl<'a> Population<'a> {
    pub(super) fn new(
        experiment: &'a Experiment,
        upstreams: &'a [Upstream],
        balancers: &'a [Balancer],
    ) -> Population<'a> {
        Population {
            experiment,
            upstreams,
            balancers,
        }
    }

    fn all(&self) -> impl Iterator<Item = Party> {
        let (zones, balancers, upstreams) = (
            self.experiment.fleet.zones.len(),
            self.balancers.len(),
            self.upstreams.len(),
        );
        (0..zones)
            .map(Party::Clients)
            .chain((0..balancers).map(Party::Balancer))
            .chain((0..upstreams).map(Party::Upstream))
            .chain((0..balancers).map(Party::Agent))
    }

    fn matches(&self, party: Party, target: &Target) -> bool {
        let (experiment, upstreams, balancers) = (self.experiment, self.upstreams, self.balancers);
        let (role, zone, tier, name) = match party {
            Party::Clients(z) => (Role::Clients, z, None, &experiment.fleet.zones[z]),
            Party::Balancer(b) => {
                let b = &balancers[b];
                (
                    if b.owner.is_some() {
                        Role::Inner
                    } else {
                        Role::Front
                    },
                    b.zone,
                    Some(b.tier),
                    &b.name,
                )
            }
            Party::Upstream(u) => (
                Role::Upstreams,
                upstreams[u].zone,
                Some(upstreams[u].tier),
                &upstreams[u].name,
            ),
            Party::Agent(b) => (
                Role::Discovery,
                balancers[b].zone,
                Some(balancers[b].tier),
                &balancers[b].name,
            ),
        };
        let either = matches!(role, Role::Front | Role::Inner);
        target
            .role
            .is_none_or(|r| r == role || r == Role::Balancers && either)
            && target
                .zone
                .as_ref()
                .is_none_or(|z| *z == experiment.fleet.zones[zone])
            && target
                .region
                .as_ref()
                .is_none_or(|r| experiment.fleet.region(zone) == Some(r))
            && target
                .tier
                .as_ref()
                .is_none_or(|t| tier.is_some_and(|i| experiment.tiers[i].name == *t))
            && target
                .names
                .as_ref()
                .is_none_or(|names| names.contains(name))
    }

    /// Returns the parties that satisfy `can` and match a target, reduced to a random subset if it has a share.
    pub(super) fn select(
        &self,
        target: &Target,
        can: impl Fn(Party) -> bool,
        rng: &mut Pcg64Mcg,
    ) -> Vec<Party> {
        let mut selected: Vec<Party> = self
            .all()
            .filter(|p| can(*p) && self.matches(*p, target))
            .collect();
        let target_count = target.share.map_or(selected.len(), |s| {
            ((selected.len() as f64 * s).round() as usize).max(1)
        });
        while selected.len() > target_count {
            selected.swap_remove(rng.gen_range(0..selected.len()));
        }
        selected.sort();
        selected
    }
}

/// Returns the index of a name in a list, if a name is given.
fn position<'a>(name: &Option<String>, mut all: impl Iterator<Item = &'a String>) -> Option<usize> {
    name.as_ref().and_then(|name| all.position(|x| x == name))
}

/// Draws the build that each balancer starts with.
pub(super) fn draw_builds(
    experiment: &Experiment,
    seed: u64,
    population: &Population<'_>,
) -> Vec<Option<usize>> {
    let rng = &mut stream(seed, Stream::Builds);
    let mut builds = vec![None; population.balancers.len()];
    for (i, build) in experiment.builds.iter().enumerate() {
        let Some(on) = &build.on else { continue };
        for party in population.select(on, |p| matches!(p, Party::Balancer(_)), rng) {
            if let Party::Balancer(b) = party {
                builds[b] = Some(i);
            }
        }
    }
    builds
}

pub(super) fn draw_faults(
    experiment: &Experiment,
    seed: u64,
    population: &Population<'_>,
    length: Millis,
) -> Vec<PlannedFault> {
    let rng = &mut stream(seed, Stream::Faults);
    let mut planned = Vec::new();
    for fault in &experiment.faults {
        let can = |p| applies_to(fault.kind, p);
        let of = fault.of.as_ref().map_or([None; 3], |of| {
            [
                position(&of.tenant, experiment.tenants.iter().map(|t| &t.name)),
                position(&of.class, experiment.classes.iter().map(|c| &c.name)),
                position(&of.zone, experiment.fleet.zones.iter()),
            ]
        });
        let mut begins = draw_span(rng, fault.at);
        for _ in 0..fault.times {
            let lasts = fault.lasts.map_or(0.0, |s| draw_span(rng, s));
            let size = fault.size.map_or(1.0, |s| draw(rng, s));
            let on = population.select(&fault.on, can, rng);
            let to = fault
                .to
                .as_ref()
                .map(|t| population.select(t, can, rng))
                .unwrap_or_default();
            let step_interval = fault.pace.map_or(0.0, |s| draw_span(rng, s));
            let rollout = step_interval * on.len().saturating_sub(1) as f64;
            planned.push(PlannedFault {
                kind: fault.kind,
                at: begins,
                until: (begins + rollout + lasts).min(length + 60_000.0),
                on,
                to,
                one_way: fault.one_way,
                size,
                delay: fault.delay.map(|s| (s.0.least, s.0.most)),
                state: fault.state,
                build: position(&fault.build, experiment.builds.iter().map(|b| &b.name)),
                step_interval,
                of,
            });
            begins += fault.every.map_or(0.0, |s| draw_span(rng, s));
        }
    }
    planned
}

/// Whether a kind of fault applies to a party.
fn applies_to(kind: FaultKind, party: Party) -> bool {
    use FaultKind::*;
    match kind {
        Kill | PowerLoss | Terminate | Upgrade | Pause | DiskFull | DiskFailing | DiskSlow => {
            matches!(party, Party::Balancer(_))
        }
        Cut => true,
        Slow | Errors | Die | Lose | Replace | Reset => matches!(party, Party::Upstream(_)),
        Burst | Outage | DatagramLoss | DatagramRepeat | DatagramDelay | DatagramGarbage => false,
        DiscoveryUnresponsive | DiscoveryGarbled | DiscoveryStale | DiscoveryMove => {
            matches!(party, Party::Agent(_))
        }
    }
}
