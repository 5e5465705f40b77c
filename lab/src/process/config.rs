//! The configuration of one balancer, as DEPLOY and WIRE word it.
use crate::agent::Agent;
use crate::draw::Calls;
use crate::experiment::{Effect, Group, Millis};
use crate::world::World;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Who the balancer is, as far as its configuration says.
pub(super) struct Who<'a> {
    pub index: usize,
    pub name: &'a str,
    pub listen: SocketAddr,
    pub agent: &'a Agent,
    /// Feeds its random choices: another one with each start.
    pub seed: u64,
}

/// Its configuration, as the platform would write it.
pub(super) fn config(of: &Who<'_>, world: &World) -> Value {
    let (e, plan) = (&world.experiment, &world.plan);
    let b = &plan.balancers[of.index];
    let tier = &e.tiers[b.tier];
    let peers: Vec<usize> = (0..plan.balancers.len())
        .filter(|&i| plan.balancers[i].tier == b.tier)
        .collect();
    let mut seed = Calls::new(of.seed);
    let classes: Vec<Value> = e
        .classes
        .iter()
        .zip(&plan.spans)
        .map(|(c, &(aim, deadline))| {
            let (effect, scope) = match (c.effect, c.group) {
                (Effect::Safe, _) => ("free", "all"),
                (Effect::Once, _) => ("single_shot", "all"),
                (Effect::Keyed, Group::All) => ("guarded", "all"),
                (Effect::Keyed, Group::Zone) => ("guarded", "zone"),
                (Effect::Keyed, Group::Cell) => ("guarded", "cell"),
            };
            json!({"name": c.name, "objective": aim, "deadline": deadline, "effect": effect, "dedup_scope": scope,
                "repeat_window": c.window.0.mean(), "late_worth": c.late_worth, "importance": c.worth,
                "streaming": false})
        })
        .collect();
    let shares: f64 = e.tenants.iter().map(|t| t.share).sum();
    let tenants: Vec<Value> = e
        .tenants
        .iter()
        .zip(&plan.quotas)
        .map(|(t, quota)| json!({"name": t.name, "share": t.share / shares, "quota_per_s": quota * plan.calls[b.tier]}))
        .collect();
    let kinds: Vec<&String> = tier.kinds.iter().map(|k| &k.name).collect();
    let coldest = tier
        .kinds
        .iter()
        .map(|k| k.cold_from.least)
        .fold(1.0, f64::min);
    let ramp: Millis = tier
        .kinds
        .iter()
        .map(|k| k.cold_for.0.most)
        .fold(0.0, f64::max);
    let rules = &e.balancer;
    let agent = of.agent;
    let list = || serde_json::from_str(&agent.whole(world)).unwrap_or(Value::Null);
    let known: Value = if e.discovery.known {
        list()
    } else {
        Value::Null
    };
    let permissions = json!({
        "attempts_cap": rules.attempts, "cancel": true, "second_copies": false, "retry_after": true,
        "max_retry_after": 1500.0, "max_open": 20000, "multiplex": 1, "peers": rules.peers,
        "may_probe": tier.probe_work.is_some(), "dial_timeout": rules.dial_timeout.0.mean(),
        "idle_close": tier.connections.idle.0.mean(), "cpu_us_per_s": 400000.0
    });
    let invariants = json!({
        "ask_within": 10000.0, "cold_from": coldest, "ramp_time": ramp, "grace_to_answer": 20.0,
        "drain_grace": rules.drain_grace.0.mean(), "fall": rules.fall.0.mean(),
        "tip_multiple": rules.tip_multiple
    });
    let settings = json!({
        "balancers": peers.len(),
        "index": b.index,
        "stage": b.tier,
        "zone": b.zone,
        "dcs": e.fleet.zones,
        "kinds": kinds,
        "tiers": e.tiers.iter().map(|t| &t.name).collect::<Vec<_>>(),
        "classes": classes,
        "tenants": tenants,
        "membership_mode": if e.discovery.pushed { "pushed" } else { "on_request" },
        "family_info": {"passes_deadline": true},
        "domain_type": "chain",
        "weights": "none",
        "worth_by": "request",
        "over_share_worth": 0.1,
        "tick": 5.0,
        "charges": {"cross_zone": 0.015},
        "clients": {"marks_retry": true},
        "stats": {"columns": ["latency_ms", "qps", "inflight"], "via": "answers"},
        "permissions": permissions,
        "invariants": invariants
    });
    json!({
        "name": of.name,
        "listen": of.listen.to_string(),
        "discovery": world.block.agent(of.index, agent.moves()).to_string(),
        "seed": format!("{:016x}", seed.seed()),
        "limits": {"cores": 1.0, "memory_mb": rules.memory_mb, "sockets": rules.sockets},
        "peer_listen": world.block.peer(of.index).to_string(),
        "peers": peers.iter().map(|&p| world.datagrams.peer(of.index, p).to_string()).collect::<Vec<_>>(),
        "peers_all": world.datagrams.all(of.index).to_string(),
        "known": known,
        "settings": settings
    })
}
