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
pub(super) fn check(e: &Experiment) -> Result<(), Invalid> {
    check_fleet(e)?;
    check_load(e)?;
    check_network(e)?;
    check_builds(e)?;
    check_bounds(e)?;
    for (i, fault) in e.faults.iter().enumerate() {
        check_fault(&format!("fault[{i}]"), fault, e)?;
    }
    for (i, expect) in e.expects.iter().enumerate() {
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
fn check_fleet(e: &Experiment) -> Result<(), Invalid> {
    if !(1000.0..=3_600_000.0).contains(&e.length.0.most) || e.length.0.least < 1000.0 {
        return invalid("length", "must be from 1 s to 1 h");
    }
    if e.fleet.zones.is_empty() || e.fleet.zones.len() > 64 {
        return invalid("fleet.zones", "must name 1 to 64 zones");
    }
    distinct("fleet.zones", e.fleet.zones.iter())?;
    if !(1..=300).contains(&e.fleet.front) {
        return invalid("fleet.front", "must be from 1 to 300 balancers");
    }
    let mut placed = std::collections::BTreeSet::new();
    for (region, zones) in &e.fleet.regions {
        let key = format!("fleet.regions.{region}");
        if let Some(zone) = zones.iter().find(|z| !e.fleet.zones.contains(z)) {
            return invalid(&key, &format!("{zone:?} is not among fleet.zones"));
        }
        if let Some(zone) = zones.iter().find(|z| !placed.insert(z.as_str())) {
            return invalid(&key, &format!("{zone:?} is in two regions"));
        }
    }
    if !(0.0..1.0).contains(&e.fleet.skew) {
        return invalid("fleet.skew", "must be at least 0 and below 1");
    }
    if !(0.0..=1.0).contains(&e.late_share) {
        return invalid("late_share", "must be from 0 to 1");
    }
    Ok(())
}

/// Validates tiers, classes, tenants and clients.
fn check_load(e: &Experiment) -> Result<(), Invalid> {
    if !(1..=3).contains(&e.tiers.len()) {
        return invalid("tier", "must be given 1 to 3 times");
    }
    distinct("tier", e.tiers.iter().map(|t| &t.name))?;
    for (i, tier) in e.tiers.iter().enumerate() {
        check_tier(&format!("tier[{i}]"), tier, i + 1 == e.tiers.len())?;
    }
    if e.classes.is_empty() {
        return invalid("class", "must be given at least once");
    }
    distinct("class", e.classes.iter().map(|c| &c.name))?;
    for (i, class) in e.classes.iter().enumerate() {
        check_class(&format!("class[{i}]"), class)?;
    }
    if e.tenants.is_empty() {
        return invalid("tenant", "must be given at least once");
    }
    distinct("tenant", e.tenants.iter().map(|t| &t.name))?;
    check_tenants(&e.tenants, &e.classes)?;
    check_clients(&e.clients)
}

/// Validates the network and the limits of balancers.
fn check_network(e: &Experiment) -> Result<(), Invalid> {
    for (key, part) in [
        ("loss", e.net.datagram_loss),
        ("repeat", e.net.datagram_repeat),
    ] {
        if !(0.0..=1.0).contains(&part) {
            return invalid(&format!("net.datagram_{key}"), "must be from 0 to 1");
        }
    }
    if !(64..=65_536).contains(&e.balancer.sockets) {
        return invalid("balancer.sockets", "must be from 64 to 65536");
    }
    if e.balancer.attempts == 0 {
        return invalid("balancer.attempts", "must be at least 1");
    }
    Ok(())
}
