//! Dispatches the events and timers of an instance.
use super::{capacity::MIN_ON_TIME_FRACTION, limits::CYCLE, requests::MAX_RETRY_BUDGET};
use crate::{interface::*, state::*};

/// Initial backoff before the endpoint list is requested again after a failure; doubles on each failure.
const MIN_SUBSCRIBE_BACKOFF: Millis = 250.0;
/// Maximum backoff, unless a third of [`Settings::subscribe_timeout`] is shorter.
const MAX_SUBSCRIBE_BACKOFF: Millis = 2000.0;
/// Interval between checks for unresponsive zones.
const ZONE_INTERVAL: Millis = 100.0;

const TIMER_CYCLE: u32 = 0;
const TIMER_SUBSCRIBE: u32 = 1;
const TIMER_ZONES: u32 = 2;

impl Balancer {
    /// Creates an instance without learned state. `seed` initializes its random number generator.
    ///
    /// # Errors
    ///
    /// Returns the first setting that [`Settings::validate`] rejects.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Result<Self, SettingsError> {
        settings.validate()?;
        let admission = Admission::new(&settings, now);
        let capacity = Capacity::new(&settings);
        let mut fleet = Fleet::new(&settings);
        fleet.resize_subset(&settings, capacity.load.admitted_peak);
        Ok(Balancer::with_parts(
            settings,
            seed,
            admission,
            capacity,
            fleet,
            MAX_RETRY_BUDGET,
        ))
    }

    /// Observations of this instance, to be shared with the others of its tier.
    pub fn observed(&mut self, now: Millis) -> Observed {
        let capacity_per_s = self.capacity.load.capacity * 1000.0 / CYCLE;
        let load = self.meter.load(capacity_per_s, now);
        self.fleet
            .observed(load, |slot| self.fleet.finding(slot, now))
    }

    /// Handles one event and appends the resulting actions. `now` must never decrease.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let now = if now.is_finite() { now } else { 0.0 };
        if !self.started {
            self.start(actions);
        }
        match event {
            Event::EndpointUpdate(update) => self.handle_endpoint_update(now, update, actions),
            Event::Restored { learned, age } => self.handle_restored(now, learned, age),
            Event::Request(request) => self.handle_request(now, &request, actions),
            Event::Outcome {
                request,
                attempt,
                ending,
                duration,
                closed,
            } => {
                let outcome = AttemptOutcome {
                    request,
                    attempt,
                    ending,
                    duration,
                    closed,
                };
                self.handle_outcome(now, &outcome, actions);
            }
            Event::Served { upstream, per_s } => {
                self.fleet.record_served_rate(upstream, per_s, now);
            }
            Event::Load {
                upstream,
                in_flight,
            } => {
                self.fleet.record_reported_load(upstream, in_flight, now);
            }
            Event::ClientDisconnected(id) => self.handle_client_disconnected(id, actions),
            Event::Tier(update) => self.handle_tier_update(now, update),
            Event::EndBy(deadline) => self.handle_end_by(deadline),
            Event::Timer(token) => self.on_timer(now, token, actions),
            Event::Streaming { .. } => {}
        }
    }

    fn start(&mut self, actions: &mut Actions) {
        self.started = true;
        // Jitter, so that instances started together do not run their cycles in lockstep.
        actions.push(Action::SetTimer {
            after: CYCLE * (0.5 + 0.5 * random_unit(&mut self.rng)),
            token: TIMER_CYCLE,
        });
        actions.push(Action::SetTimer {
            after: ZONE_INTERVAL,
            token: TIMER_ZONES,
        });
        if self.settings.subscribes {
            actions.push(Action::Subscribe);
        }
    }

    fn handle_endpoint_update(
        &mut self,
        now: Millis,
        update: EndpointUpdate,
        actions: &mut Actions,
    ) {
        if self.settings.subscribes && matches!(update, EndpointUpdate::Failed) {
            return self.retry_subscribe(actions);
        }
        if !matches!(update, EndpointUpdate::Cached(_)) {
            self.subscribe_failures = 0;
        }
        self.fleet.apply(update, &self.settings, now, &mut self.rng);
        self.rescale_capacity(now);
        self.restore_saved(now);
    }

    /// Requests the endpoint list again later, with backoff and jitter as all instances share one registry, and well within
    /// the subscribe timeout.
    fn retry_subscribe(&mut self, actions: &mut Actions) {
        let max = (self.settings.subscribe_timeout / 3.0).min(MAX_SUBSCRIBE_BACKOFF);
        let doubled = f64::from(1u32 << self.subscribe_failures.min(10));
        let backoff = (MIN_SUBSCRIBE_BACKOFF * doubled).min(max);
        self.subscribe_failures += 1;
        actions.push(Action::SetTimer {
            after: backoff * (0.5 + 0.5 * random_unit(&mut self.rng)),
            token: TIMER_SUBSCRIBE,
        });
    }

    fn handle_restored(&mut self, now: Millis, learned: Box<Learned>, age: Millis) {
        let valid = learned.validate(&self.settings).is_ok();
        self.saved_state = valid.then(|| SavedState {
            learned,
            saved_at: now - age.max(0.0),
        });
        self.restore_saved(now);
    }

    fn handle_client_disconnected(&mut self, id: RequestId, actions: &mut Actions) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.abandoned = true;
        if let Some(attempt) = pending.in_flight.filter(|_| self.settings.cancel) {
            actions.push(Action::Cancel {
                request: id,
                attempt: attempt.number,
            });
        }
    }

    fn handle_tier_update(&mut self, now: Millis, update: Box<TierUpdate>) {
        let since_last = self.tier.handle_update(update, now);
        self.load_shedding.handle_sums(
            self.tier.sums(now),
            self.capacity.total_quota,
            &self.admission.tenants,
        );
        self.fleet
            .extend_ejections(&self.tier, &self.settings, since_last, now, &mut self.rng);
    }

    fn handle_end_by(&mut self, deadline: Millis) {
        for pending in self.pending.values_mut() {
            pending.deadline = pending.deadline.min(deadline);
        }
    }

    fn on_timer(&mut self, now: Millis, token: u32, actions: &mut Actions) {
        match token {
            TIMER_CYCLE => self.on_cycle(now, actions),
            TIMER_ZONES => {
                self.check_zones(now, actions);
                actions.push(Action::SetTimer {
                    after: ZONE_INTERVAL,
                    token: TIMER_ZONES,
                });
            }
            TIMER_SUBSCRIBE => actions.push(Action::Subscribe),
            _ => {}
        }
    }

    fn on_cycle(&mut self, now: Millis, actions: &mut Actions) {
        self.record_overdue_calls(now);
        self.capacity
            .record_response_time(self.fleet.response_times.mean);
        self.fleet.zones.return_gradually(now, actions);
        self.rescale_capacity(now);
        self.capacity
            .record_served_rate(self.fleet.served_by_all(now));
        self.admission.end_cycle(now, &mut self.capacity);
        let late = self.capacity.load.on_time_fraction < MIN_ON_TIME_FRACTION;
        actions.extend(self.report_lateness(late));
        self.fleet
            .resize_subset(&self.settings, self.capacity.load.admitted_mean);
        actions.push(Action::SetTimer {
            after: CYCLE,
            token: TIMER_CYCLE,
        });
    }

    /// Scales capacity with the number of usable upstreams. Adapting to a smaller number from late responses alone would
    /// take seconds.
    pub(super) fn rescale_capacity(&mut self, now: Millis) {
        let counts = self.fleet.count_upstreams(&self.settings, now);
        let before = std::mem::replace(&mut self.capacity.usable, counts.usable);
        self.capacity.listed = counts.listed;
        if counts.usable > 0.0 && before > 0.0 {
            self.capacity.load.capacity *= counts.usable / before;
        }
    }
}
