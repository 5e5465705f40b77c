//! The configuration of one balancer. DEPLOY and WIRE define the names of its keys.
use crate::agent::Agent;
use crate::draw::Draws;
use crate::experiment::{Class, Effect, Experiment, Group, Kind, Millis, Tier};
use crate::world::World;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// The identity of the balancer in its configuration.
pub(super) struct Identity<'a> {
    /// Position in the plan.
    pub(super) index: usize,
    pub(super) name: &'a str,
    pub(super) listen: SocketAddr,
    pub(super) agent: &'a Agent,
    /// Seeds the balancer's random choices; each start has a different seed.
    pub(super) seed: u64,
}

/// Returns the configuration of a balancer, as the platform would write it to a file.
pub(super) fn config(identity: &Identity<'_>, world: &World) -> Value {
    let (index, agent) = (identity.index, identity.agent);
    let peers = peers(world, index);
    let peer_addresses: Vec<String> = peers
        .iter()
        .map(|&peer| world.datagrams.peer(index, peer).to_string())
        .collect();
    let rules = &world.experiment.balancer;
    let known: Value = if world.experiment.discovery.known {
        serde_json::from_str(&agent.full_listing(world)).unwrap_or(Value::Null)
    } else {
        Value::Null
    };
    json!({
        "name": identity.name,
        "listen": identity.listen.to_string(),
        "discovery": world.block.agent(index, agent.moves()).to_string(),
        "seed": format!("{:016x}", Draws::new(identity.seed).seed()),
        "limits": {"cores": 1.0, "memory_mb": rules.memory_mb, "sockets": rules.sockets},
        "peer_listen": world.block.peer(index).to_string(),
        "peers": peer_addresses,
        "peers_all": world.datagrams.all(index).to_string(),
        "known": known,
        "settings": settings(world, index, peers.len())
    })
}

/// All balancers of the same tier, including this one.
fn peers(world: &World, balancer: usize) -> Vec<usize> {
    let balancers = &world.plan.balancers;
    let tier = balancers[balancer].tier;
    (0..balancers.len())
        .filter(|&other| balancers[other].tier == tier)
        .collect()
}

fn settings(world: &World, index: usize, balancers: usize) -> Value {
    let experiment = &world.experiment;
    let balancer = &world.plan.balancers[index];
    let tier = &experiment.tiers[balancer.tier];
    let kinds: Vec<&String> = tier.kinds.iter().map(|kind| &kind.name).collect();
    let tiers: Vec<&String> = experiment.tiers.iter().map(|tier| &tier.name).collect();
    json!({
        "balancers": balancers,
        "index": balancer.index,
        "stage": balancer.tier,
        "zone": balancer.zone,
        "dcs": experiment.fleet.zones,
        "kinds": kinds,
        "tiers": tiers,
        "classes": classes(world),
        "tenants": tenants(world, balancer.tier),
        "membership_mode": if experiment.discovery.pushed { "pushed" } else { "on_request" },
        "family_info": {"passes_deadline": true},
        "domain_type": "chain",
        "weights": "none",
        "worth_by": "request",
        "over_share_worth": 0.1,
        "tick": 5.0,
        "charges": {"cross_zone": 0.015},
        "clients": {"marks_retry": true},
        "stats": {"columns": ["latency_ms", "qps", "inflight"], "via": "answers"},
        "permissions": permissions(experiment, tier),
        "invariants": invariants(experiment, &tier.kinds)
    })
}

fn classes(world: &World) -> Vec<Value> {
    let classes = world.experiment.classes.iter();
    classes
        .zip(&world.plan.spans)
        .map(|(class, &(latency_target, deadline))| {
            let (effect, scope) = effect_and_scope(class);
            json!({
                "name": class.name,
                "objective": latency_target,
                "deadline": deadline,
                "effect": effect,
                "dedup_scope": scope,
                "repeat_window": class.window.0.mean(),
                "late_worth": class.late_value,
                "importance": class.value,
                "streaming": false
            })
        })
        .collect()
}

/// The effect of repeated requests of a class, and the scope in which upstreams deduplicate them.
fn effect_and_scope(class: &Class) -> (&'static str, &'static str) {
    match (class.effect, class.group) {
        (Effect::Safe, _) => ("free", "all"),
        (Effect::Once, _) => ("single_shot", "all"),
        (Effect::Keyed, Group::All) => ("guarded", "all"),
        (Effect::Keyed, Group::Zone) => ("guarded", "zone"),
        (Effect::Keyed, Group::Cell) => ("guarded", "cell"),
    }
}

fn tenants(world: &World, tier: usize) -> Vec<Value> {
    let tenants = &world.experiment.tenants;
    let shares: f64 = tenants.iter().map(|tenant| tenant.share).sum();
    tenants
        .iter()
        .zip(&world.plan.quotas)
        .map(|(tenant, quota)| {
            json!({
                "name": tenant.name,
                "share": tenant.share / shares,
                "quota_per_s": quota * world.plan.calls[tier]
            })
        })
        .collect()
}

fn permissions(experiment: &Experiment, tier: &Tier) -> Value {
    let rules = &experiment.balancer;
    json!({
        "attempts_cap": rules.attempts,
        "cancel": true,
        "second_copies": false,
        "retry_after": true,
        "max_retry_after": 1500.0,
        "max_open": 20000,
        "multiplex": 1,
        "peers": rules.peers,
        "may_probe": tier.probe_work.is_some(),
        "dial_timeout": rules.dial_timeout.0.mean(),
        "idle_close": tier.connections.idle.0.mean(),
        "cpu_us_per_s": 400000.0
    })
}

fn invariants(experiment: &Experiment, kinds: &[Kind]) -> Value {
    let rules = &experiment.balancer;
    let slow_start_from = kinds
        .iter()
        .map(|kind| kind.slow_start_from.least)
        .fold(1.0, f64::min);
    let slow_start_time: Millis = kinds
        .iter()
        .map(|kind| kind.slow_start_time.0.most)
        .fold(0.0, f64::max);
    json!({
        "ask_within": 10000.0,
        "cold_from": slow_start_from,
        "ramp_time": slow_start_time,
        "grace_to_answer": 20.0,
        "drain_grace": rules.drain_grace.0.mean(),
        "fall": rules.fall.0.mean(),
        "tip_multiple": rules.tip_multiple
    })
}
