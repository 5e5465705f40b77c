//! Handles incoming requests, and the retry budget that they earn.
use crate::{interface::*, state::*};

/// If late responses have no value, requests are given up at this fraction of their objective, so that the final
/// response still arrives in time.
const LATENCY_TARGET_FRACTION: f64 = 0.98;
/// Retries earned per request, so that retries cannot multiply the load on a failing tier.
const RETRY_RATIO: f64 = 0.2;
/// Maximum retry budget.
pub(super) const MAX_RETRY_BUDGET: f64 = 10.0;
/// Maximum retry budget over all instances of a tier, if they exchange updates.
const MAX_TIER_RETRY_BUDGET: f64 = 100.0;
/// Retries earned per first attempt while demand exceeds the tier's capacity, as each retry displaces a first attempt.
const OVERLOADED_RETRY_RATIO: f64 = 0.05;

impl Balancer {
    /// Admits and sends a request, or refuses it.
    pub(super) fn handle_request(&mut self, now: Millis, request: &Request, actions: &mut Actions) {
        if self.pending.contains_key(&request.id) {
            return;
        }
        self.earn_retries(now);
        self.meter.on_request(request.tenant, now);
        let tenant = request.tenant.min(self.admission.tenants.len() - 1);
        if let Some(reason) = self.check_refusal(now, request, tenant) {
            let refusal = self.refusal(request.id, reason, now);
            return actions.push(refusal);
        }
        let class = &self.settings.classes[request.class];
        // A late response without value would only occupy a slot in every tier above.
        let useful_until = if class.late_value > 0.0 {
            f64::INFINITY
        } else {
            now + class.objective * LATENCY_TARGET_FRACTION
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

    /// Adds the retries that a request earns to the retry budget.
    fn earn_retries(&mut self, now: Millis) {
        let max_budget = self.tier.current(now).map_or(MAX_RETRY_BUDGET, |update| {
            (MAX_TIER_RETRY_BUDGET / f64::from(update.live_instances)).clamp(1.0, MAX_RETRY_BUDGET)
        });
        let overloaded = self
            .tier
            .sums(now)
            .map(|sums| &sums.load)
            .filter(|load| load.demand_ratio() > 1.0);
        let earned = overloaded.map_or(RETRY_RATIO, |load| {
            OVERLOADED_RETRY_RATIO * (load.first_attempts / load.demand).min(1.0)
        });
        self.retry_budget = (self.retry_budget + earned).min(max_budget);
    }

    /// Decides whether a request is refused, and for which reason; otherwise it counts as admitted.
    fn check_refusal(&mut self, now: Millis, request: &Request, tenant: usize) -> Option<Refusal> {
        let Some(class) = self.settings.classes.get(request.class) else {
            return Some(Refusal::TooLittleTime);
        };
        // A response within the remaining time is unlikely, and the call would only delay others. Without calls in
        // flight the request is sent anyway, as response times learned in a slow period would otherwise never be updated.
        let fastest = self.fleet.response_times.fastest_relative() * class.objective;
        if self.admission.in_flight > 0.0 && request.deadline - now < fastest {
            return Some(Refusal::TooLittleTime);
        }
        let verdict = if self.tier.sums(now).is_some() {
            self.load_shedding
                .decide(tenant, request, &self.settings.classes)
        } else {
            SheddingVerdict::NoLevel
        };
        let admitted = self
            .admission
            .admit(tenant, verdict, now, &mut self.capacity);
        (!admitted).then_some(Refusal::OverLimit)
    }
}
