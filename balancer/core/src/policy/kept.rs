//! What is kept for a later instance, and how it is taken back. Owns what was kept until there is a list.
use super::{capacity::FLOOR_LEAST, ejection::EJECT_MOST};
use crate::{interface::*, state::*};

/// What was learned of the load, and of answer times, is worth less the older it is: 0.37 at this age. Load
/// turns over in a minute or so, machines do not.
const LOAD_KEPT: Millis = 30_000.0;
const TIMES_KEPT: Millis = 600_000.0;

impl Balancer {
    /// What was learned so far, to be kept for a later instance. Limits follow from it by the published rule.
    pub fn learned(&mut self, now: Millis) -> Learned {
        let (_, usable) = self.fleet.count(&self.settings, now);
        learned(self, usable, now)
    }

    /// Takes back what was kept, once there is a list.
    pub(super) fn take_back(&mut self, now: Millis) {
        if let Some((kept, at)) = self.kept.take_if(|_| self.fleet.subset.ready > 0) {
            self.restore(now, &kept, now - at);
        }
    }

    /// Takes back what was learned `age` ago: faded towards what this one starts with, and scaled to the
    /// upstreams that there are now, or copies that all come back would tip the cold ones.
    fn restore(&mut self, now: Millis, kept: &Learned, age: Millis) {
        let (load, times) = ((-age / LOAD_KEPT).exp(), (-age / TIMES_KEPT).exp());
        let mix = |to: &mut f64, kept: f64, value: f64| *to += value * (kept - *to);
        let (a, c, f) = (&mut self.admission, &mut self.capacity, &mut self.fleet);
        let shift = now - age - kept.at;
        for &(id, since, health) in &kept.upstreams {
            let Some(&i) = f
                .by_id
                .get(&id)
                .filter(|&&i| f.slots[i].member.since == since)
            else {
                continue;
            };
            let u = &mut f.slots[i];
            u.health = Health {
                fails: load * health.fails,
                ..health.shifted(shift)
            };
            u.health.ejected_until = u.health.ejected_until.min(now + EJECT_MOST);
            u.health.lost_until = u.health.lost_until.min(now + EJECT_MOST);
        }
        for (&kind, &(usual, answers)) in kept
            .kinds
            .iter()
            .filter(|(_, k)| k.0 > 0.0 && k.1 * times >= 1.0)
        {
            // Fewer answers to rest on, so that new ones count for more.
            f.answers
                .kinds
                .entry(kind)
                .or_insert((usual, answers * times));
        }
        f.rested
            .lost
            .iter_mut()
            .zip(&kept.rest_lost)
            .for_each(|(to, &kept)| mix(to, kept, times));
        mix(&mut f.answers.latency, kept.answer, times);
        mix(&mut f.answers.deviation, kept.deviation, times);
        // What is listed now may be the few that are left of what was shared out among many.
        f.most = f.most.max(load * kept.upstreams_max);
        (c.listed, c.usable) = f.count(&self.settings, now);
        let size = (c.usable / kept.upstreams_usable.max(0.01)).min(1.0);
        // Before it is known it is taken for the quotas.
        c.load.served = if kept.load.served > 0.0 {
            c.quotas
        } else {
            0.0
        };
        c.load = c.load.mixed(&kept.load.scaled(size), load, times);
        c.load.uncrowded = c.load.uncrowded.max(FLOOR_LEAST);
        for (t, &kept) in a.tenants.iter_mut().zip(&kept.demands) {
            t.seen |= kept.is_some();
            t.demand += load * kept.map_or(0.0, |kept| kept - t.demand);
        }
        f.resize_subset(&self.settings, c.load.recent);
        a.end_cycle(now, c);
    }
}
