//! What the replicas of the tier learn from each other.
use super::Tier;
use balancer_core::*;
use std::collections::{BTreeMap, BTreeSet};

impl Tier {
    /// Words to all copies: sums of those that hear each other, without what is their own in the evidence.
    pub(super) fn tell(&mut self) {
        let up: Vec<usize> = (0..self.copies.len())
            .filter(|&c| self.copies[c].up)
            .collect();
        let (now, copies) = (self.now, &mut self.copies);
        let all: Vec<_> = up
            .iter()
            .map(|&c| (c, copies[c].balancer.observed(now)))
            .collect();
        let joined: Vec<_> = all.iter().filter(|(c, _)| self.copies[*c].joined).collect();
        let mut load = TierLoad {
            tenants: vec![TenantLoad::default(); 3],
            ..TierLoad::default()
        };
        for (_, Observed { load: l, .. }) in &joined {
            load.demand += l.demand;
            load.room += l.room;
            load.firsts += l.firsts;
            load.retries += l.retries;
            load.tenants
                .iter_mut()
                .zip(&l.tenants)
                .for_each(|(to, t)| to.demand += t.demand);
        }
        for (place, &(c, _)) in joined.iter().enumerate() {
            let mut evidence: BTreeMap<Subject, (u32, BTreeSet<u16>, u32)> = BTreeMap::new();
            for (
                other,
                Observed {
                    against, cleared, ..
                },
            ) in joined.iter().filter(|(other, _)| other != c)
            {
                for &subject in against.iter() {
                    let e = evidence.entry(subject).or_default();
                    e.0 += 1;
                    e.1.insert((other % 3) as u16);
                }
                cleared
                    .iter()
                    .for_each(|&subject| evidence.entry(subject).or_default().2 += 1);
            }
            let evidence = evidence
                .into_iter()
                .map(|(subject, (observers, zones, cleared))| Evidence {
                    subject,
                    observers,
                    zones: zones.len() as u32,
                    cleared,
                    age: 100.0,
                })
                .collect();
            let sums = Some(TierSums {
                load: load.clone(),
                age: 300.0,
                error: 0.0,
            });
            let (up, place) = (joined.len() as u32, place as u32);
            if let Some(word) = (self.word)(
                self.now,
                TierUpdate {
                    up,
                    place,
                    joined: true,
                    sums,
                    evidence,
                },
            ) {
                self.event(*c, Event::Tier(Box::new(word)));
            }
        }
    }
}
