//! Decides on each request that comes in, and how many retries are earned by it.
use crate::{interface::*, state::*};

/// Where a late response earns nothing, the request ends at this part of its objective: just in time to say so.
const LATENCY_TARGET_PART: f64 = 0.98;
/// Retries allowed per request on average: a failing tier is not sent a multiple.
const RETRY_RATIO: f64 = 0.2;
/// Retries that may be saved up.
pub(super) const MAX_RETRY_BUDGET: f64 = 10.0;
/// Retries that all instances of a tier together may save up, where they hear of each other.
const MAX_TIER_RETRY_BUDGET: f64 = 100.0;
/// Retries per first attempt while demand on the tier exceeds its capacity, as each takes a first attempt's place.
const OVERLOADED_RETRY_RATIO: f64 = 0.05;

impl Balancer {
    /// Sends a request, or refuses it.
    pub(super) fn handle_request(&mut self, now: Millis, request: &Request, actions: &mut Actions) {
        if self.pending.contains_key(&request.id) {
            return;
        }
        self.earn_retries(now);
        self.meter.on_request(request.tenant, now);
        let tenant = request.tenant.min(self.admission.tenants.len() - 1);
        if let Some(reason) = self.refuse(now, request, tenant) {
            let refusal = self.refusal(request.id, reason, now);
            return actions.push(refusal);
        }
        let class = &self.settings.classes[request.class];
        // A late response that earns nothing only fills a place in every tier above.
        let useful_until = if class.late_value > 0.0 {
            f64::INFINITY
        } else {
            now + class.objective * LATENCY_TARGET_PART
        };
        let pending = Pending {
            class: request.class,
            tenant,
            deadline: request.deadline.min(useful_until),
            attempts: 0,
            in_flight: None,
            first_run: None,
            last_slot: None,
            abandoned: false,
        };
        self.pending.insert(request.id, pending);
        if !self.send(now, request.id, actions) {
            self.give_up(request.id, now, actions);
        }
    }

    /// Adds to the retry budget what a request earns.
    fn earn_retries(&mut self, now: Millis) {
        let max_budget = self.tier.current(now).map_or(MAX_RETRY_BUDGET, |update| {
            (MAX_TIER_RETRY_BUDGET / f64::from(update.up)).clamp(1.0, MAX_RETRY_BUDGET)
        });
        let overloaded = self
            .tier
            .sums(now)
            .map(|sums| &sums.load)
            .filter(|load| load.pressure() > 1.0);
        let earned = overloaded.map_or(RETRY_RATIO, |load| {
            OVERLOADED_RETRY_RATIO * (load.first_attempts / load.demand).min(1.0)
        });
        self.retry_budget = (self.retry_budget + earned).min(max_budget);
    }

    /// Why a request is refused, if it is; else it counts as admitted.
    fn refuse(&mut self, now: Millis, request: &Request, tenant: usize) -> Option<Refusal> {
        let Some(class) = self.settings.classes.get(request.class) else {
            return Some(Refusal::TooLittleTime);
        };
        // Hardly any upstream responds in so little time: the call would only keep others waiting. Where no call is in
        // flight it is sent, or what was learned in a slow time would apply for ever.
        let fastest = self.fleet.response_times.fastest_relative() * class.objective;
        if self.admission.in_flight > 0.0 && request.deadline - now < fastest {
            return Some(Refusal::TooLittleTime);
        }
        let verdict = if self.tier.sums(now).is_some() {
            self.load_shedding
                .judge(tenant, request, &self.settings.classes)
        } else {
            SheddingVerdict::NoLevel
        };
        let admitted = self
            .admission
            .admit(tenant, verdict, now, &mut self.capacity);
        (!admitted).then_some(Refusal::OverLimit)
    }
}
