//! Between the module's types and the tier's: what this copy observes goes out, what the tier knows comes in. What the
//! operator has switched off is left out on the way in, so that the decisions do then as they would alone. Owns no
//! state.
use crate::figures;
use crate::options;
use balancer_core::{
    Evidence, Observed, Subject, TenantLoad, TierLoad, TierSums, TierUpdate, UpstreamId,
};
use balancer_gossip as peers;

/// What the module observes, with the connections that each tenant's callers hold.
pub(super) fn own(observed: Observed, callers: &[u32]) -> peers::Observations {
    let Observed {
        load,
        against,
        cleared,
    } = observed;
    let tenant = |(i, t): (usize, TenantLoad)| peers::TenantLoad {
        demand: t.demand,
        calls: t.calls,
        callers: callers.get(i).copied().map_or(0.0, f64::from),
    };
    let TierLoad {
        demand,
        room,
        firsts,
        retries,
        tenants,
    } = load;
    let tenants = tenants.into_iter().enumerate().map(tenant).collect();
    peers::Observations {
        load: peers::Load {
            demand,
            room,
            firsts,
            retries,
            tenants,
        },
        against: against.into_iter().map(told).collect(),
        cleared: cleared.into_iter().map(told).collect(),
    }
}

fn told(subject: Subject) -> peers::Subject {
    match subject {
        Subject::Upstream(UpstreamId(id)) => peers::Subject::Upstream(id),
        Subject::Zone(zone) => peers::Subject::Zone(zone),
    }
}

fn heard(subject: peers::Subject) -> Subject {
    match subject {
        peers::Subject::Upstream(id) => Subject::Upstream(UpstreamId(id)),
        peers::Subject::Zone(zone) => Subject::Zone(zone),
    }
}

/// What the tier knows, as far as the decisions may hear of it.
pub fn word(word: peers::TierState, may: &options::Peers) -> TierUpdate {
    let peers::TierState {
        up,
        place,
        joined,
        sums,
        evidence,
        ..
    } = word;
    // As if there were nobody else.
    let (up, place) = if may.trials { (up, place) } else { (1, 0) };
    let evidence = evidence
        .into_iter()
        .filter(|_| may.verdicts)
        .map(|e| Evidence {
            subject: heard(e.subject),
            observers: e.observers,
            zones: e.zones,
            cleared: e.cleared,
            age: e.age,
        });
    TierUpdate {
        up,
        place,
        joined,
        sums: sums
            .filter(|_| may.shed || may.shares)
            .map(|s| self::sums(s, may)),
        evidence: evidence.collect(),
    }
}

fn sums(sums: peers::Sums, may: &options::Peers) -> TierSums {
    let peers::Load {
        demand,
        room,
        firsts,
        retries,
        tenants,
    } = sums.load;
    let shed = |figure: f64| if may.shed { figure } else { 0.0 };
    let shares = |figure: f64| if may.shares { figure } else { 0.0 };
    let tenant = |t: peers::TenantLoad| TenantLoad {
        demand: shed(t.demand),
        calls: shares(t.calls),
        callers: shares(t.callers),
    };
    let load = TierLoad {
        demand: shed(demand),
        room: shed(room),
        firsts: shed(firsts),
        retries: shed(retries),
        tenants: tenants.into_iter().map(tenant).collect(),
    };
    TierSums {
        load,
        age: sums.age,
        error: sums.error,
    }
}

/// The same for an operator, whatever the decisions may hear.
pub(super) fn figures(
    word: &peers::TierState,
    counts: peers::Counters,
    here: figures::Dropped,
) -> figures::Peers {
    let oldest = word.evidence.iter().map(|e| e.age).max_by(f64::total_cmp);
    let sums = word.sums.as_ref().map(|s| figures::Sums {
        age_ms: s.age,
        heard: s.heard,
        error: s.error,
        demand: s.load.demand,
        room: s.load.room,
        firsts: s.load.firsts,
        retries: s.load.retries,
        calls: s.load.tenants.iter().map(|t| t.calls).sum(),
        callers: s.load.tenants.iter().map(|t| t.callers).sum(),
    });
    let peers::Counters {
        malformed,
        foreign_deployment,
        unsupported_version,
        old,
        ..
    } = counts;
    figures::Peers {
        up: word.up,
        place: word.place,
        joined: word.joined,
        version: word.version,
        epoch: word.epoch,
        steps: counts.steps,
        suspected: counts.suspected,
        gone: counts.gone,
        sums,
        evidence: word.evidence.len() as u64,
        evidence_age_ms: oldest,
        sent: counts.sent,
        sent_bytes: counts.sent_bytes,
        read: counts.read,
        read_bytes: counts.read_bytes,
        dropped: figures::Dropped {
            broken: malformed,
            foreign: foreign_deployment,
            unspoken: unsupported_version,
            old,
            ..here
        },
    }
}
