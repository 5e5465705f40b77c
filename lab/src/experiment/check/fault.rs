//! Faults and whom they meet.
use super::names::Wrong;
use super::target::check_target;
use crate::experiment::fault::{Fault, FaultKind};
use crate::experiment::schema::Experiment;

pub(super) fn check_fault(key: &str, fault: &Fault, e: &Experiment) -> Result<(), Wrong> {
    check_times(key, fault, e)?;
    check_size(key, fault)?;
    check_parts(key, fault, e)?;
    check_requests(key, fault, e)?;
    check_presence(key, fault)?;
    for (part, target) in [("on", Some(&fault.on)), ("to", fault.to.as_ref())] {
        let Some(target) = target else { continue };
        check_target(&format!("{key}.{part}"), target, e)?;
    }
    Ok(())
}

/// When it comes, how often, and whether balancers take part in it.
fn check_times(key: &str, fault: &Fault, e: &Experiment) -> Result<(), Wrong> {
    use FaultKind::*;
    let wrong = |part: &str, what: String| Err((format!("{key}.{part}"), what));
    if fault.at.0.most > e.length.0.least {
        return wrong("at", "must be within the length of the experiment".into());
    }
    if fault.delay.is_some() != matches!(fault.kind, DatagramDelay | DiskSlow | Outage) {
        return wrong(
            "delay",
            "goes with datagram-delay, disk-slow and outage, and only with these".into(),
        );
    }
    if (fault.times > 1) != fault.every.is_some() || !(1..=10_000).contains(&fault.times) {
        return wrong(
            "times",
            "1 to 10000; more than one goes with `every`".into(),
        );
    }
    if matches!(fault.kind, PowerLoss | DiskFull | DiskFailing | DiskSlow) && !e.drills() {
        let what =
            "needs balancers that take part: [options.recovery] dir = \"{state}\", drill = \"{drill}\"";
        return wrong("kind", what.into());
    }
    Ok(())
}

/// How much of it there is.
fn check_size(key: &str, fault: &Fault) -> Result<(), Wrong> {
    use FaultKind::*;
    let wrong = |part: &str, what: &str| Err((format!("{key}.{part}"), what.to_owned()));
    let sized = matches!(
        fault.kind,
        Slow | Errors | Burst | Outage | DatagramLoss | DatagramRepeat | DatagramGarbage
    );
    if fault.size.is_some() != sized {
        let what = if sized {
            "missing: how much?"
        } else {
            "does not go with this kind"
        };
        return wrong("size", what);
    }
    if matches!(fault.kind, Errors | Outage | DatagramLoss | DatagramRepeat)
        && fault.size.is_some_and(|s| s.most > 1.0)
    {
        return wrong("size", "must be at most 1");
    }
    Ok(())
}

/// The other side of a partition, and the build of an upgrade.
fn check_parts(key: &str, fault: &Fault, e: &Experiment) -> Result<(), Wrong> {
    use FaultKind::*;
    let wrong = |part: &str, what: String| Err((format!("{key}.{part}"), what));
    if (fault.to.is_some() || fault.one_way) && fault.kind != Cut {
        return wrong("to", "only a cut has another side".into());
    }
    if fault.kind != Upgrade && (fault.build.is_some() || fault.pace.is_some()) {
        let part = if fault.build.is_some() {
            "build"
        } else {
            "pace"
        };
        return wrong(part, "goes with upgrade only".into());
    }
    if let Some(name) = fault
        .build
        .as_ref()
        .filter(|n| !e.builds.iter().any(|b| b.name == **n))
    {
        return wrong("build", format!("there is no build {name:?}"));
    }
    Ok(())
}

/// Whose requests a burst adds to.
fn check_requests(key: &str, fault: &Fault, e: &Experiment) -> Result<(), Wrong> {
    let Some(of) = &fault.of else {
        return Ok(());
    };
    if fault.kind != FaultKind::Burst {
        return Err((format!("{key}.of"), "goes with burst only".into()));
    }
    for (part, missing) in [
        (
            "tenant",
            none(&of.tenant, e.tenants.iter().map(|t| &t.name)),
        ),
        ("class", none(&of.class, e.classes.iter().map(|c| &c.name))),
        ("zone", none(&of.zone, e.fleet.zones.iter())),
    ] {
        if let Some(name) = missing {
            return Err((
                format!("{key}.of.{part}"),
                format!("there is no {part} {name:?}"),
            ));
        }
    }
    Ok(())
}

/// What a kind of fault must say, and what goes with others only.
fn check_presence(key: &str, fault: &Fault) -> Result<(), Wrong> {
    use FaultKind::*;
    let wrong = |part: &str, what: &str| Err((format!("{key}.{part}"), what.to_owned()));
    if fault.state.is_some() && !matches!(fault.kind, Kill | Terminate) {
        return wrong("state", "goes with kill and terminate only");
    }
    if fault.kind == Cut && fault.to.is_none() {
        return wrong("to", "missing: a cut is between two groups");
    }
    if fault.lasts.is_none() && !matches!(fault.kind, Reset | DiscoveryMove) {
        return wrong("for", "missing: how long?");
    }
    Ok(())
}

/// A name that is not among these.
fn none<'a>(name: &Option<String>, mut all: impl Iterator<Item = &'a String>) -> Option<String> {
    name.as_ref()
        .filter(|name| !all.any(|x| x == *name))
        .cloned()
}
