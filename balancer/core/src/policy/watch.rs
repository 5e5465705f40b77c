//! Watches calls that are out and have not been answered. Owns no state.
use super::{capacity::lateness, limits::CYCLE};
use crate::{interface::*, state::*};

impl Balancer {
    /// Counts calls that fill what may be in flight and are lost.
    pub(super) fn count_lost(&mut self, now: Millis) {
        let lost = |p: &&Pending| {
            p.out
                .is_some_and(|out| !p.over && self.fleet.lost(out, now))
        };
        self.admission.lost = self.pending.values().filter(lost).count() as f64;
    }

    /// Calls that are late already count before their answers come: judged by the answers alone, which
    /// are the fast ones at first, a tier that slows down would look well.
    pub(super) fn judge_unanswered(&mut self, now: Millis) {
        for p in self.pending.values().filter(|p| !p.over) {
            let Some(out @ (_, i, sent, rest)) = p.out else {
                continue;
            };
            if (0.0..CYCLE).contains(&(now - sent - self.fleet.answers.patience())) {
                self.fleet.rested.note_lost(rest, true);
            }
            let late = lateness((now - sent) / self.settings.classes[p.class].objective);
            if late > 0.0 && !self.fleet.lost(out, now) && !self.fleet.silent(i, now) {
                self.capacity.learn(late);
            }
        }
        self.count_lost(now);
    }

    /// Judges zones as wholes. What hangs in one that is left is called off and repeated where that is legal.
    pub(super) fn watch_zones(&mut self, now: Millis, actions: &mut Actions) {
        let (s, f) = (&self.settings, &mut self.fleet);
        let slow = f.near.took[0].max(f.near.took[1]).max(1.0);
        f.zones.reckon();
        for p in self.pending.values().filter(|p| !p.over) {
            let Some((_, i, sent, _)) = p.out else {
                continue;
            };
            let (u, objective) = (&f.slots[i], s.classes[p.class].objective);
            let usual = f
                .answers
                .usual(u, now)
                .map_or(f.answers.latency, |part| part * objective);
            f.zones.owe(u.member.zone, sent, usual.max(1.0) * slow);
        }
        if !f.zones.leave(&self.tier, now, actions) {
            return;
        }
        self.recount(now);
        for (&request, p) in self
            .pending
            .iter()
            .filter(|(_, p)| !p.over && self.settings.cancel)
        {
            let Some((attempt, i, ..)) = p.out else {
                continue;
            };
            let again = self.settings.classes[p.class].effect.harmless()
                && p.sends < self.settings.max_attempts;
            if self.fleet.left(i) && again && now + self.fleet.answers.latency < p.ends {
                // Once for each loss, so that it is no multiple: beside what is allowed for each request.
                self.retries += 1.0;
                actions.push(Action::Cancel { request, attempt });
            }
        }
        self.count_lost(now);
    }
}
