//! Owns what one copy has learned of the next tier's capacity, from how late answers are.
use super::limits::CYCLE;
use crate::{interface::*, state::*};

/// Weight of the newest cycle in a tenant's demand: one copy sees only a few calls of a tenant per cycle.
pub(super) const DEMAND_GAIN: f64 = 0.3;
/// An answer is timely within this part of its objective; the rest is room for queues until they are known.
const TIMELY: f64 = 0.4;
/// Lateness counts from 0 there to 1 at the objective, and to this much for failures and time-outs.
pub(super) const LATENESS_MOST: f64 = 2.0;
/// Mean lateness at which capacity rests: the tail that heavy work and slow servers have anyway.
const LATENESS_REST: f64 = 0.08;
/// Capacity before anything was learned: in the first tier the stated quotas, below it this multiple of them.
const START_BELOW: f64 = 4.0;
/// Growth of capacity per cycle when no answer is late; its fall for each unit of lateness, and at most.
const CAPACITY_UP: f64 = 0.2;
const CAPACITY_DOWN: f64 = 0.6;
const CAPACITY_FALL: f64 = 0.35;
/// Part of answers in time below which the floor gives way; its least part, or nothing would come back.
pub(super) const SUCCESS_WANTED: f64 = 0.7;
pub(super) const FLOOR_LEAST: f64 = 0.3;
/// Answers that are needed to judge by.
const LEARN_LEAST: f64 = 4.0;
/// Answer time in unloaded ones at which calls in flight are what capacity takes; at which all are refused.
pub(super) const INFLIGHT_FULL: f64 = 1.6;
pub(super) const INFLIGHT_MOST: f64 = 2.2;
/// Growth per cycle of what counts as the unloaded answer time, which is the least mean seen of late.
const UNLOADED_UP: f64 = 0.02;
/// Capacity stays within this multiple of the peak lately admitted; what a cycle keeps of that and the like.
const CAPACITY_ROOM: f64 = 2.0;
pub(super) const CYCLE_KEPT: f64 = 0.95;

impl Capacity {
    pub(crate) fn new(s: &Settings) -> Self {
        let quota: f64 =
            s.tenants.iter().map(|t| t.quota_per_s).sum::<f64>() / f64::from(s.balancers);
        // Starting above its quotas, the first tier crowded the servers at once. Tiers below start with more
        // room, as a refusal there wastes the work done above; not with more for upstreams in slow start.
        let start = if s.stage == 0 { 1.0 } else { START_BELOW };
        let stated = start * quota * CYCLE / 1000.0;
        // Quotas count clients' requests: tiers below get several calls for one.
        let quotas = if s.stage == 0 {
            stated * f64::from(s.balancers)
        } else {
            0.0
        };
        // Without stated quotas nothing is known: the first cycle refuses no one and shows what is carried.
        let capacity = if stated > 0.0 { stated } else { 1000.0 };
        let objective = s.mean_objective();
        let (recent, peak, unloaded) = (stated / start, stated, objective / 4.0);
        let load = Load {
            capacity,
            recent,
            peak,
            unloaded,
            success: 1.0,
            uncrowded: 1.0,
            served: 0.0,
        };
        let quota = (quota * CYCLE / 1000.0).max(0.1);
        let (listed, usable, timely) = (1.0, 1.0, TIMELY * objective);
        Capacity {
            load,
            quota,
            quotas,
            listed,
            usable,
            timely,
            ..Capacity::default()
        }
    }

    /// The unloaded answer time is the least mean of late, let up only while most answers are in time.
    pub(crate) fn note_latency(&mut self, latency: Millis) {
        let up = if self.load.success < SUCCESS_WANTED {
            1.0
        } else {
            1.0 + UNLOADED_UP
        };
        self.load.unloaded = (self.load.unloaded * up).min(latency);
        // Crowded servers stay slow: the floor gives way, and comes back in steps, or so would the crowd.
        if latency > INFLIGHT_MOST * self.load.unloaded {
            self.load.uncrowded *= 1.0 - CAPACITY_FALL;
        } else if latency < INFLIGHT_FULL * self.load.unloaded {
            self.load.uncrowded *= 1.0 + CAPACITY_UP;
        }
        self.load.uncrowded = self.load.uncrowded.clamp(FLOOR_LEAST, 1.0);
    }

    /// Books what was admitted in a cycle that lasted `part` of its length.
    pub(crate) fn end_cycle(&mut self, admitted: f64, part: f64, crowded: bool) {
        self.load.recent += if part > 0.0 {
            part * DEMAND_GAIN * (admitted / part - self.load.recent)
        } else {
            0.0
        };
        if part >= 0.5 {
            self.load.peak = (admitted / part).max(self.load.peak * CYCLE_KEPT);
            self.adapt(admitted / part);
            // More is lent than can be carried: back to that, so that limits decide who is refused.
            let most = if crowded {
                admitted / part
            } else {
                f64::INFINITY
            };
            let most = most.min(self.load.peak * CAPACITY_ROOM + 1.0);
            self.load.capacity = self.load.capacity.min(most).max(self.floor());
            if self.load.served > 0.0 && self.quotas > 0.0 {
                // Past the quotas little is gained, and what copies learn in quiet times tips all in a burst.
                self.load.capacity = self.load.capacity.min(self.share() * (1.0 + CAPACITY_UP));
            }
        }
    }

    /// Least capacity, or lateness would cut it to nothing: the quotas, as far as answers and upstreams let.
    fn floor(&self) -> f64 {
        let success = (self.load.success / SUCCESS_WANTED).clamp(FLOOR_LEAST, self.load.uncrowded);
        self.share() * self.usable * success
    }

    /// This balancer's part of the quotas: an even one, or more where clients ask more of it than of others.
    fn share(&self) -> f64 {
        let part = if self.load.served > 0.0 {
            (self.load.recent / self.load.served).min(1.0)
        } else {
            0.0
        };
        self.quota.max(self.quotas * part)
    }

    pub(crate) fn note_served(&mut self, served: Option<f64>) {
        let before = if self.load.served > 0.0 {
            self.load.served
        } else {
            self.quotas
        };
        self.load.served = served.map_or(0.0, |served| before + DEMAND_GAIN * (served - before));
    }

    /// What the upstreams carry per cycle for this balancer when all is well, though an overload admits less.
    /// More balancers than stated get less each: by what is served in all, else by what each is asked.
    pub(crate) fn carried(&self, asked: f64) -> f64 {
        let (carried, served) = (
            self.load.recent * self.load.success.max(FLOOR_LEAST),
            self.load.served,
        );
        let (told, even) = (
            served > 0.0 && self.quotas > 0.0,
            self.quota.min(CAPACITY_ROOM * asked),
        );
        let part = if told {
            self.quotas * (carried / served).min(1.0)
        } else {
            even
        };
        carried.max(part * self.listed)
    }

    /// Takes note of how late an answer was.
    pub(crate) fn learn(&mut self, lateness: f64) {
        self.in_time += f64::from(u8::from(lateness < 1.0));
        self.lateness += lateness;
        self.answers += 1.0;
    }

    /// Moves the learned capacity: up the more the sooner answers come; down beyond the tail that always is.
    fn adapt(&mut self, admitted: f64) {
        if self.answers < LEARN_LEAST {
            return;
        }
        let mean = self.lateness / self.answers;
        self.load.success += DEMAND_GAIN * (self.in_time / self.answers - self.load.success);
        if mean > LATENESS_REST {
            let fall = (CAPACITY_DOWN * (mean - LATENESS_REST)).min(CAPACITY_FALL);
            self.load.capacity = (self.load.capacity * (1.0 - fall)).max(self.floor());
        } else {
            // What was admitted and answered in time was within capacity, whatever was learned before.
            self.load.capacity = self.load.capacity.max(admitted)
                * (1.0 + CAPACITY_UP * (1.0 - mean / LATENESS_REST));
        }
        (self.lateness, self.in_time, self.answers) = (0.0, 0.0, 0.0);
    }
}

/// How late an answer is that took `part` of its class's objective.
pub(super) fn lateness(part: f64) -> f64 {
    ((part - TIMELY) / (1.0 - TIMELY)).clamp(0.0, LATENESS_MOST)
}
