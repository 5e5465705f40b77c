//! Owns what is known of zones as wholes: leaves one that does not answer, and comes back by degrees.
use super::{capacity::CYCLE_KEPT, limits::CYCLE};
use crate::{interface::*, state::*};

/// A zone is left that owes so many answer times, each call up to this much, each broken upstream one.
const ZONE_OWES: f64 = 6.0;
const ZONE_OWES_EACH: f64 = 4.0;
/// It is tried this often, times one more than it was left of late, and comes back from this part, doubling.
const ZONE_TRIAL: Millis = 500.0;
const ZONE_FIRST: f64 = 0.125;

impl Zones {
    /// Takes note of how an attempt at an upstream ended.
    pub(crate) fn note(&mut self, u: &mut Upstream, ending: Ending, patience: Millis, now: Millis) {
        let any = now - self.heard < patience;
        let z = self.by_zone.entry(u.member.zone).or_default();
        if matches!(ending, Ending::Ok | Ending::Error | Ending::Full) {
            (z.heard, z.broken, self.heard) = (now, 0.0, now);
        } else if any && !matches!(ending, Ending::Cancelled | Ending::Moot | Ending::Unknown) {
            z.broken += f64::from(u8::from(u.broke_at <= z.heard));
            u.broke_at = now;
        }
    }

    /// Counts a call that is out, up to the last answer from anywhere: where none comes, all would be left.
    pub(crate) fn owe(&mut self, zone: u16, sent: Millis, takes: Millis) {
        let z = self.by_zone.entry(zone).or_default();
        z.owes += ((self.heard - sent.max(z.heard)) / takes - 1.0).clamp(0.0, ZONE_OWES_EACH);
    }

    /// Leaves zones that owe too much. Tells whether there were any.
    pub(crate) fn leave(&mut self, tier: &Tier, now: Millis, actions: &mut Actions) -> bool {
        let heard = self.heard;
        let enough = |zone| {
            ZONE_OWES
                / if tier.backs(Subject::Zone(zone), now) {
                    2.0
                } else {
                    1.0
                }
        };
        let quiet = |zone, z: &Zone| z.gone < 1.0 && z.owes > enough(zone) && z.heard < heard;
        let before = actions.len();
        for (zone, z) in self.by_zone.iter_mut().filter(|(zone, z)| quiet(**zone, z)) {
            (z.gone, z.since, z.falls, z.tried, z.tries) = (1.0, now, z.falls + 1.0, now, 0);
            actions.push(z.told_left(*zone, now));
        }
        actions.len() > before
    }

    /// Zones that answer come back by degrees, each held the longer the more often they were left of late.
    pub(crate) fn come_back(&mut self, now: Millis, actions: &mut Actions) {
        for (zone, z) in &mut self.by_zone {
            let (before, share, bad) = (
                z.gone,
                1.0 - z.gone,
                z.broken >= 1.0 || z.owes > ZONE_OWES / 2.0,
            );
            if before == 0.0 {
                z.falls *= CYCLE_KEPT;
            } else if bad {
                let less = 1.0 - (share / 2.0).max(ZONE_FIRST);
                (z.gone, z.since) = (if before < 1.0 { less } else { before }, now);
            } else if z.heard > z.since && (before >= 1.0 || now - z.since > z.falls * CYCLE) {
                (z.gone, z.since) = (1.0 - (2.0 * share).clamp(ZONE_FIRST, 1.0), now);
            }
            if z.gone != before {
                actions.push(z.told_back(*zone));
            }
        }
    }

    /// Whether one of a zone that is left or returning may be drawn now.
    pub(crate) fn stands(&mut self, zone: u16, ask: &PickRequest<'_>, rng: &mut Rng) -> bool {
        let Some(z) = self.by_zone.get_mut(&zone).filter(|z| z.gone > 0.0) else {
            return true;
        };
        let (first, then) = ask.tier.wait(Subject::Zone(zone), ask.settings, ask.now);
        let pause = ZONE_TRIAL * (1.0 + z.falls) * if z.tries == 0 { first } else { then };
        let tries = ask.harmless && z.heard <= z.since && ask.now - z.tried > pause;
        (z.tried, z.tries) = if tries {
            (ask.now, z.tries + 1)
        } else {
            (z.tried, z.tries)
        };
        tries || ask.desperate || unit(rng) >= z.gone
    }
}
