//! Exchange of updates between the instances of the tier.
use super::TierSimulation;
use balancer_core::*;
use std::collections::{BTreeMap, BTreeSet};

/// Age of the evidence in an update.
const EVIDENCE_AGE: f64 = 100.0;
/// Age of the sums in an update.
const SUMS_AGE: f64 = 300.0;

/// Observations of a connected instance.
struct Observation {
    instance: usize,
    observed: Observed,
}

/// Observers of one subject.
#[derive(Default)]
struct Observers {
    failing: u32,
    zones: BTreeSet<u16>,
    cleared: u32,
}

impl TierSimulation {
    /// Sends each connected instance the sums over all of them and the evidence of the others.
    pub(super) fn exchange_updates(&mut self) {
        let observations = self.observations();
        let load = total_load(&observations);
        for (index, own) in observations.iter().enumerate() {
            let update = TierUpdate {
                live_instances: observations.len() as u32,
                index: index as u32,
                connected: true,
                sums: Some(TierSums {
                    load: load.clone(),
                    age: SUMS_AGE,
                    error: 0.0,
                }),
                evidence: evidence_for(own.instance, &observations),
            };
            if let Some(update) = (self.filter_update)(self.now, update) {
                self.handle(own.instance, Event::Tier(Box::new(update)));
            }
        }
    }

    fn observations(&mut self) -> Vec<Observation> {
        let now = self.now;
        let up = self.instances.iter_mut().enumerate();
        up.filter(|(_, instance)| instance.up)
            .map(|(index, instance)| (instance.connected, index, instance.balancer.observed(now)))
            .filter(|(connected, ..)| *connected)
            .map(|(_, instance, observed)| Observation { instance, observed })
            .collect()
    }
}

fn total_load(observations: &[Observation]) -> TierLoad {
    let mut total = TierLoad {
        tenants: vec![TenantLoad::default(); 3],
        ..TierLoad::default()
    };
    for Observation { observed, .. } in observations {
        let load = &observed.load;
        total.demand += load.demand;
        total.capacity += load.capacity;
        total.first_attempts += load.first_attempts;
        total.retries += load.retries;
        for (sum, tenant) in total.tenants.iter_mut().zip(&load.tenants) {
            sum.demand += tenant.demand;
        }
    }
    total
}

/// The evidence of all instances except the given one.
fn evidence_for(instance: usize, observations: &[Observation]) -> Vec<Evidence> {
    let mut subjects: BTreeMap<Subject, Observers> = BTreeMap::new();
    for other in observations {
        if other.instance == instance {
            continue;
        }
        for &subject in &other.observed.failing {
            let observers = subjects.entry(subject).or_default();
            observers.failing += 1;
            observers.zones.insert((other.instance % 3) as u16);
        }
        for &subject in &other.observed.cleared {
            subjects.entry(subject).or_default().cleared += 1;
        }
    }
    let evidence = |(subject, observers): (Subject, Observers)| Evidence {
        subject,
        observers: observers.failing,
        zones: observers.zones.len() as u32,
        cleared: observers.cleared,
        age: EVIDENCE_AGE,
    };
    subjects.into_iter().map(evidence).collect()
}
