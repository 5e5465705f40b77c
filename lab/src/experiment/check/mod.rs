//! Validation beyond what the types enforce. Each error is the invalid key and a message.
mod bounds;
mod fault;
mod load;
mod names;
mod target;
mod tier;

use super::schema::Experiment;
use bounds::{check_bounds, check_builds};
use fault::check_fault;
use load::{check_class, check_clients, check_tenants};
use names::{distinct, Invalid};
use tier::check_tier;

/// Validates what the types do not enforce.
pub(super) fn check(experiment: &Experiment) -> Result<(), Invalid> {
    check_fleet(experiment)?;
    check_load(experiment)?;
    check_network(experiment)?;
    check_builds(experiment)?;
    check_bounds(experiment)?;
    for (i, fault) in experiment.faults.iter().enumerate() {
        check_fault(&format!("fault[{i}]"), fault, experiment)?;
    }
    for (i, expect) in experiment.expects.iter().enumerate() {
        if expect.least.is_none() && expect.most.is_none() {
            return invalid(&format!("expect[{i}]"), "least, most or both must be given");
        }
    }
    Ok(())
}

fn invalid(key: &str, what: &str) -> Result<(), Invalid> {
    Err((key.to_string(), what.to_string()))
}

/// Validates the length, zones and regions.
fn check_fleet(experiment: &Experiment) -> Result<(), Invalid> {
    if !(1000.0..=3_600_000.0).contains(&experiment.length.0.most)
        || experiment.length.0.least < 1000.0
    {
        return invalid("length", "must be from 1 s to 1 h");
    }
    if experiment.fleet.zones.is_empty() || experiment.fleet.zones.len() > 64 {
        return invalid("fleet.zones", "must name 1 to 64 zones");
    }
    distinct("fleet.zones", experiment.fleet.zones.iter())?;
    if !(1..=300).contains(&experiment.fleet.front) {
        return invalid("fleet.front", "must be from 1 to 300 balancers");
    }
    let mut placed = std::collections::BTreeSet::new();
    for (region, zones) in &experiment.fleet.regions {
        let key = format!("fleet.regions.{region}");
        if let Some(zone) = zones.iter().find(|z| !experiment.fleet.zones.contains(z)) {
            return invalid(&key, &format!("{zone:?} is not among fleet.zones"));
        }
        if let Some(zone) = zones.iter().find(|z| !placed.insert(z.as_str())) {
            return invalid(&key, &format!("{zone:?} is in two regions"));
        }
    }
    if !(0.0..1.0).contains(&experiment.fleet.skew) {
        return invalid("fleet.skew", "must be at least 0 and below 1");
    }
    if !(0.0..=1.0).contains(&experiment.late_share) {
        return invalid("late_share", "must be from 0 to 1");
    }
    Ok(())
}

/// Validates tiers, classes, tenants and clients.
fn check_load(experiment: &Experiment) -> Result<(), Invalid> {
    if !(1..=3).contains(&experiment.tiers.len()) {
        return invalid("tier", "must be given 1 to 3 times");
    }
    distinct("tier", experiment.tiers.iter().map(|t| &t.name))?;
    for (i, tier) in experiment.tiers.iter().enumerate() {
        check_tier(&format!("tier[{i}]"), tier, i + 1 == experiment.tiers.len())?;
    }
    if experiment.classes.is_empty() {
        return invalid("class", "must be given at least once");
    }
    distinct("class", experiment.classes.iter().map(|c| &c.name))?;
    for (i, class) in experiment.classes.iter().enumerate() {
        check_class(&format!("class[{i}]"), class)?;
    }
    if experiment.tenants.is_empty() {
        return invalid("tenant", "must be given at least once");
    }
    distinct("tenant", experiment.tenants.iter().map(|t| &t.name))?;
    check_tenants(&experiment.tenants, &experiment.classes)?;
    check_clients(&experiment.clients)
}

/// Validates the network and the limits of balancers.
fn check_network(experiment: &Experiment) -> Result<(), Invalid> {
    for (key, part) in [
        ("loss", experiment.net.datagram_loss),
        ("repeat", experiment.net.datagram_repeat),
    ] {
        if !(0.0..=1.0).contains(&part) {
            return invalid(&format!("net.datagram_{key}"), "must be from 0 to 1");
        }
    }
    if !(64..=65_536).contains(&experiment.balancer.sockets) {
        return invalid("balancer.sockets", "must be from 64 to 65536");
    }
    if experiment.balancer.attempts == 0 {
        return invalid("balancer.attempts", "must be at least 1");
    }
    Ok(())
}
