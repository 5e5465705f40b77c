//! Owns the open requests and the budget of further attempts; takes every event.
use super::{capacity::*, limits::CYCLE};
use crate::{interface::*, state::*};

/// Where a late answer earns nothing, the request ends at this part of its objective: just in time to say so.
const AIM_PART: f64 = 0.98;
/// Further attempts allowed per request on average: a failing tier is not sent a multiple.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SAVED: f64 = 10.0;
/// Where copies hear of each other: saved ones of all together, and further attempts per first one while the
/// tier is asked for more than it has room for, as each takes a first one's place.
const RETRY_SAVED_ALL: f64 = 100.0;
const RETRY_CROWDED: f64 = 0.05;
/// Pause before asking for the list again after a failure, doubling to this or a third of `subscribe_timeout`.
const ASK_AGAIN: (Millis, Millis) = (250.0, 2000.0);
/// Zones are judged this often.
const ZONES_EVERY: Millis = 100.0;

const TIMER_CYCLE: u32 = 0;
const TIMER_ASK: u32 = 1;
const TIMER_ZONES: u32 = 2;

impl Balancer {
    /// A fresh instance that knows nothing yet. `seed` feeds its random choices.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Result<Self, SettingsError> {
        settings.validate()?;
        let admission = Admission::new(&settings, now);
        let capacity = Capacity::new(&settings);
        let mut fleet = Fleet::new(&settings);
        fleet.resize_subset(&settings, capacity.load.peak);
        Ok(Balancer::of(
            settings,
            seed,
            (admission, capacity, fleet),
            RETRY_SAVED,
        ))
    }

    fn request(&mut self, now: Millis, r: Request, actions: &mut Actions) {
        if self.pending.contains_key(&r.id) {
            return;
        }
        let part = |w: &TierUpdate| (RETRY_SAVED_ALL / f64::from(w.up)).clamp(1.0, RETRY_SAVED);
        let saved = self.tier.word(now).map_or(RETRY_SAVED, part);
        let crowded = self
            .tier
            .sums(now)
            .map(|s| &s.load)
            .filter(|s| s.pressure() > 1.0);
        let earned = crowded.map_or(RETRY_RATIO, |s| {
            RETRY_CROWDED * (s.firsts / s.demand).min(1.0)
        });
        self.retries = (self.retries + earned).min(saved);
        self.meter.asked(r.tenant, now);
        // Hardly any upstream answers in so little time: the call would only keep others waiting. Where there
        // are none it is sent, or what was learned in a slow time would hold for ever.
        let (out, soonest) = (self.admission.inflight > 0.0, self.fleet.answers.soonest());
        let hopeless = |c: &Class| out && r.deadline - now < soonest * c.objective;
        let late = self.settings.classes.get(r.class).is_none_or(hopeless);
        let tenant = r.tenant.min(self.admission.tenants.len() - 1);
        let over = !late && {
            let judge = |_: &TierSums| self.shed.judge(tenant, &r, &self.settings.classes);
            let level = self.tier.sums(now).map_or(Level::Absent, judge);
            !self.admission.admit(tenant, level, now, &mut self.capacity)
        };
        if let Some(reason) = late
            .then_some(Refusal::TooLittleTime)
            .or(over.then_some(Refusal::OverLimit))
        {
            let refusal = self.refusal(r.id, reason, now);
            return actions.push(refusal);
        }
        let c = &self.settings.classes[r.class];
        // A late answer that earns nothing only holds a slot in every tier above.
        let useful = if c.late_value > 0.0 {
            f64::INFINITY
        } else {
            now + c.objective * AIM_PART
        };
        let (class, tenant, ends) = (r.class, r.tenant, r.deadline.min(useful));
        let fresh = Pending {
            class,
            tenant,
            ends,
            sends: 0,
            out: None,
            ran: None,
            last: None,
            over: false,
        };
        self.pending.insert(r.id, fresh);
        if !self.send(now, r.id, actions) {
            self.give_up(r.id, now, actions);
        }
    }

    fn outcome(
        &mut self,
        now: Millis,
        of: (RequestId, u32),
        how: (Ending, Millis, bool),
        to: &mut Actions,
    ) {
        let ((id, number), (ending, duration, closed)) = (of, how);
        let Some(p) = self.pending.get_mut(&id) else {
            return;
        };
        let Some((_, i, _, rest)) = p.out.take_if(|out| out.0 == number) else {
            return;
        };
        // Where upstreams also shed work that they had begun, 'full' proves nothing.
        let proof = ending.never_ran() && !(ending == Ending::Full && self.settings.late_shedding);
        if proof && p.ran.is_some_and(|(n, ..)| n == number) {
            p.ran = None;
        }
        let objective = self.settings.classes[p.class].objective;
        let over = p.over || closed;
        self.admission.inflight -= 1.0;
        self.meter.ended(p.tenant, now);
        self.shed.took(p.class, ending, duration);
        let part = duration.max(1.0) / objective;
        let how = (ending, duration, part);
        let own = self
            .fleet
            .ended((i, rest), how, now, &self.tier, &mut self.rng);
        self.fleet.forget_if_gone(i);
        match ending {
            Ending::Ok => self.capacity.learn(lateness(duration / objective)),
            Ending::Cancelled | Ending::Moot => {}
            // Blame the server or the connection, not the fleet, for failures that are its own.
            _ if own || self.fleet.rested.dropped(rest) => {}
            _ => self.capacity.learn(LATENESS_MOST),
        }
        if over {
            self.pending.remove(&id);
        } else if ending != Ending::Ok && self.may_repeat(now) && self.send(now, id, to) {
            self.retries -= 1.0;
        } else {
            self.give_up(id, now, to);
        }
    }

    /// Keeps capacity in step with the upstreams there are: to unlearn what was learned with more of them
    /// would take seconds of late answers.
    pub(super) fn recount(&mut self, now: Millis) {
        let (listed, usable) = self.fleet.count(&self.settings, now);
        let before = std::mem::replace(&mut self.capacity.usable, usable);
        self.capacity.listed = listed;
        self.capacity.load.capacity *= if usable > 0.0 && before > 0.0 {
            usable / before
        } else {
            1.0
        };
    }

    /// What this copy observes, for the others of its tier.
    pub fn observed(&mut self, now: Millis) -> Observed {
        let load = self
            .meter
            .load(self.capacity.load.capacity * 1000.0 / CYCLE, now);
        self.fleet.observed(load, |i| self.fleet.evidence(i, now))
    }

    /// Takes one event and appends what is to be done. `now` must not go back.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let now = if now.is_finite() { now } else { 0.0 };
        if !self.started {
            self.started = true;
            // Copies started together must not recompute in step.
            let after = CYCLE * (0.5 + 0.5 * unit(&mut self.rng));
            actions.push(Action::SetTimer {
                after,
                token: TIMER_CYCLE,
            });
            actions.push(Action::SetTimer {
                after: ZONES_EVERY,
                token: TIMER_ZONES,
            });
            if self.settings.subscribes {
                actions.push(Action::Subscribe);
            }
        }
        match event {
            Event::EndpointUpdate(EndpointUpdate::Failed) if self.settings.subscribes => {
                // The registry is one queue for all: back off with jitter, well within the time to be told.
                let most = (self.settings.subscribe_timeout / 3.0).min(ASK_AGAIN.1);
                let pause = (ASK_AGAIN.0 * f64::from(1u32 << self.ask_failures.min(10))).min(most);
                self.ask_failures += 1;
                let after = pause * (0.5 + 0.5 * unit(&mut self.rng));
                actions.push(Action::SetTimer {
                    after,
                    token: TIMER_ASK,
                });
            }
            Event::EndpointUpdate(news) => {
                self.ask_failures *= u32::from(matches!(news, EndpointUpdate::Cached(_)));
                self.fleet.apply(news, &self.settings, now, &mut self.rng);
                self.recount(now);
                self.take_back(now);
            }
            Event::Restored { learned, age } => {
                self.kept = learned
                    .validate(&self.settings)
                    .ok()
                    .map(|()| (learned, now - age.max(0.0)));
                self.take_back(now);
            }
            Event::Request(r) => self.request(now, r, actions),
            Event::Outcome {
                request,
                attempt,
                ending,
                duration,
                closed,
            } => {
                self.outcome(now, (request, attempt), (ending, duration, closed), actions);
            }
            Event::Served { upstream, per_s } => self.fleet.serves(upstream, per_s, now),
            Event::Load { upstream, held } => self.fleet.said(upstream, held, now),
            Event::ClientDisconnected(id) => {
                if let Some(p) = self.pending.get_mut(&id) {
                    p.over = true;
                    if let Some((attempt, ..)) = p.out.filter(|_| self.settings.cancel) {
                        actions.push(Action::Cancel {
                            request: id,
                            attempt,
                        });
                    }
                }
            }
            Event::Timer(TIMER_CYCLE) => {
                self.judge_unanswered(now);
                self.capacity.note_latency(self.fleet.answers.latency);
                self.fleet.zones.come_back(now, actions);
                self.recount(now);
                self.capacity.note_served(self.fleet.served_by_all(now));
                self.admission.end_cycle(now, &mut self.capacity);
                let late = self.capacity.load.success < SUCCESS_WANTED;
                actions.extend(self.told_late(late));
                self.fleet
                    .resize_subset(&self.settings, self.capacity.load.recent);
                actions.push(Action::SetTimer {
                    after: CYCLE,
                    token: TIMER_CYCLE,
                });
            }
            Event::Timer(TIMER_ZONES) => {
                self.watch_zones(now, actions);
                actions.push(Action::SetTimer {
                    after: ZONES_EVERY,
                    token: TIMER_ZONES,
                });
            }
            Event::Timer(TIMER_ASK) => actions.push(Action::Subscribe),
            Event::EndBy(at) => self
                .pending
                .values_mut()
                .for_each(|p| p.ends = p.ends.min(at)),
            Event::Tier(word) => {
                let since = self.tier.hear(word, now);
                self.shed.hear(
                    self.tier.sums(now),
                    self.capacity.quotas,
                    &self.admission.tenants,
                );
                self.fleet
                    .hold(&self.tier, &self.settings, (since, now), &mut self.rng);
            }
            Event::Streaming { .. } | Event::Timer(_) => {}
        }
    }
}
