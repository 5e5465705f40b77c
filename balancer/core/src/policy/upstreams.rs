//! Owns the list of upstreams, with the connections and calls of each.
use crate::{interface::*, state::*};

impl Fleet {
    pub(crate) fn new(s: &Settings) -> Self {
        let (subset, answers, near) = (Subset::new(s), Answers::new(s), Near::new(s));
        Fleet {
            subset,
            answers,
            near,
            ..Fleet::default()
        }
    }

    pub(crate) fn apply(&mut self, news: EndpointUpdate, s: &Settings, now: Millis, rng: &mut Rng) {
        let Some((members, whole)) = news.members() else {
            return;
        };
        if whole {
            self.drop_unnamed(&members);
        }
        for member in members {
            let known = self.by_id.get(&member.id).copied();
            if let Some(i) = known.filter(|&i| self.slots[i].member.since == member.since) {
                self.slots[i].member = member;
            } else if known.is_some() || member.availability != Availability::Removed {
                let i = self.place(member.id);
                // Restarted under its old id it is cold again, and its old sins are forgotten.
                let inflight = known.map_or(0, |i| self.slots[i].inflight);
                let health = Health {
                    slowness: 1.0,
                    ..Health::default()
                };
                // Hundreds of copies must not each send their first call at once: start in random phase.
                let (tokens, tokens_at, rested_from, silent_since) = (unit(rng), now, now, now);
                let times = Upstream {
                    tokens,
                    tokens_at,
                    rested_from,
                    silent_since,
                    ..Upstream::default()
                };
                self.slots[i] = Upstream {
                    member,
                    inflight,
                    health,
                    ..times
                };
            }
        }
        (0..self.slots.len()).for_each(|i| self.forget_if_gone(i));
        self.subset
            .choose(&self.slots, &self.by_id, self.near.zone, s);
    }

    /// Lets the subset follow the traffic.
    pub(crate) fn resize_subset(&mut self, s: &Settings, calls_per_cycle: f64) {
        if let Some(size) = self.subset.wants(self.answers.latency, s, calls_per_cycle) {
            self.subset.size = size;
            self.subset
                .choose(&self.slots, &self.by_id, self.near.zone, s);
        }
    }
}
