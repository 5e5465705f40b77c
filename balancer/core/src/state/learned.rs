//! Conversion of an instance's learned state to its saved form.
use super::{Balancer, KindResponseTime};
use crate::interface::{Learned, Millis};

/// The learned state to be saved; `usable` is the fraction of upstreams that can be used.
pub(crate) fn learned(balancer: &Balancer, usable: f64, now: Millis) -> Learned {
    let fleet = &balancer.fleet;
    let called = fleet
        .by_id
        .values()
        .map(|&slot| &fleet.slots[slot])
        .filter(|upstream| upstream.health.outcomes > 0);
    let tenants = balancer.admission.tenants.iter();
    let kind = |(&kind, time): (&u8, &KindResponseTime)| (kind, (time.relative, time.samples));
    Learned {
        saved_at: now,
        load: balancer.capacity.load,
        upstreams_max: fleet.max_ready,
        upstreams_usable: usable,
        mean_response_time: fleet.response_times.mean,
        deviation: fleet.response_times.deviation,
        demands: tenants
            .map(|tenant| tenant.seen.then_some(tenant.demand))
            .collect(),
        kinds: fleet.response_times.kinds.iter().map(kind).collect(),
        idle_loss_rates: fleet.idle_connections.loss_rates.to_vec(),
        upstreams: called
            .map(|upstream| {
                let endpoint = &upstream.endpoint;
                (endpoint.id, endpoint.since, upstream.health)
            })
            .collect(),
    }
}
