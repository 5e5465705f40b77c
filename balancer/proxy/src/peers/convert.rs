//! Conversions between the types of the decision module and of the tier protocol: outgoing observations and incoming
//! tier state. Incoming data that the operator has switched off is omitted, so that the module decides as a replica
//! without peers would. Owns no state.
use crate::metrics;
use crate::options::PeerOptions;
use balancer_core::{
    Evidence, Observed, Subject, TenantLoad, TierLoad, TierSums, TierUpdate, UpstreamId,
};
use balancer_gossip as gossip;

/// Converts the module's observations, and adds the number of client connections of each tenant.
pub(super) fn observations(observed: Observed, client_connections: &[u32]) -> gossip::Observations {
    let load = observed.load;
    let tenants = load.tenants.into_iter().enumerate();
    let tenants = tenants.map(|(position, tenant)| gossip::TenantLoad {
        demand: tenant.demand,
        calls: tenant.calls_in_flight,
        client_connections: client_connections
            .get(position)
            .copied()
            .map_or(0.0, f64::from),
    });
    gossip::Observations {
        load: gossip::Load {
            demand: load.demand,
            capacity: load.capacity,
            first_attempts: load.first_attempts,
            retries: load.retries,
            tenants: tenants.collect(),
        },
        against: observed.failing.into_iter().map(to_gossip).collect(),
        cleared: observed.cleared.into_iter().map(to_gossip).collect(),
    }
}

fn to_gossip(subject: Subject) -> gossip::Subject {
    match subject {
        Subject::Upstream(UpstreamId(id)) => gossip::Subject::Upstream(id),
        Subject::Zone(zone) => gossip::Subject::Zone(zone),
    }
}

fn to_core(subject: gossip::Subject) -> Subject {
    match subject {
        gossip::Subject::Upstream(id) => Subject::Upstream(UpstreamId(id)),
        gossip::Subject::Zone(zone) => Subject::Zone(zone),
    }
}

/// Converts the tier state to an update for the module, limited to what the options allow the module to use.
pub fn tier_update(state: gossip::TierState, options: &PeerOptions) -> TierUpdate {
    // Without membership, this replica acts as the only one.
    let (live_instances, index) = if options.use_membership {
        (state.up, state.position)
    } else {
        (1, 0)
    };
    let evidence = state.evidence.into_iter();
    let evidence = evidence
        .filter(|_| options.use_evidence)
        .map(|evidence| Evidence {
            subject: to_core(evidence.subject),
            observers: evidence.observers,
            zones: evidence.zones,
            cleared: evidence.cleared,
            age: evidence.age,
        });
    let sums = state
        .sums
        .filter(|_| options.use_load_sums || options.use_tenant_sums);
    TierUpdate {
        live_instances,
        index,
        connected: state.is_joined,
        sums: sums.map(|sums| tier_sums(sums, options)),
        evidence: evidence.collect(),
    }
}

fn tier_sums(sums: gossip::Sums, options: &PeerOptions) -> TierSums {
    let zero_unless = |used: bool, value: f64| if used { value } else { 0.0 };
    let load_sum = |value| zero_unless(options.use_load_sums, value);
    let tenant_sum = |value| zero_unless(options.use_tenant_sums, value);
    let tenants = sums.load.tenants.into_iter().map(|tenant| TenantLoad {
        demand: load_sum(tenant.demand),
        calls_in_flight: tenant_sum(tenant.calls),
        client_connections: tenant_sum(tenant.client_connections),
    });
    TierSums {
        load: TierLoad {
            demand: load_sum(sums.load.demand),
            capacity: load_sum(sums.load.capacity),
            first_attempts: load_sum(sums.load.first_attempts),
            retries: load_sum(sums.load.retries),
            tenants: tenants.collect(),
        },
        age: sums.age,
        error: sums.error,
    }
}

/// Converts the tier state to metrics, independent of the options.
pub(super) fn tier_metrics(
    state: &gossip::TierState,
    counters: gossip::Counters,
    dropped_here: metrics::DroppedDatagrams,
) -> metrics::TierMetrics {
    let evidence_ages = state.evidence.iter().map(|evidence| evidence.age);
    metrics::TierMetrics {
        replicas_up: state.up,
        position: state.position,
        joined: state.is_joined,
        version: state.version,
        epoch: state.epoch,
        version_changes: counters.version_changes,
        suspected: counters.suspected,
        removed: counters.failed,
        sums: state.sums.as_ref().map(sum_metrics),
        evidence: state.evidence.len() as u64,
        evidence_age_ms: evidence_ages.max_by(f64::total_cmp),
        sent: counters.sent,
        sent_bytes: counters.sent_bytes,
        read: counters.received,
        read_bytes: counters.received_bytes,
        dropped: metrics::DroppedDatagrams {
            malformed: counters.malformed,
            foreign_deployment: counters.foreign_deployment,
            unsupported_version: counters.unsupported_version,
            old: counters.too_old,
            ..dropped_here
        },
    }
}

fn sum_metrics(sums: &gossip::Sums) -> metrics::TierSums {
    let tenants = &sums.load.tenants;
    metrics::TierSums {
        age_ms: sums.age,
        replicas: sums.heard,
        error: sums.error,
        demand: sums.load.demand,
        capacity: sums.load.capacity,
        first_attempts: sums.load.first_attempts,
        retries: sums.load.retries,
        in_flight: tenants.iter().map(|tenant| tenant.calls).sum(),
        client_connections: tenants.iter().map(|tenant| tenant.client_connections).sum(),
    }
}
