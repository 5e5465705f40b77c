//! Validation of faults and their targets.
use super::names::Invalid;
use super::target::check_target;
use crate::experiment::fault::{Fault, FaultKind};
use crate::experiment::schema::Experiment;

pub(super) fn check_fault(
    key: &str,
    fault: &Fault,
    experiment: &Experiment,
) -> Result<(), Invalid> {
    check_times(key, fault, experiment)?;
    check_size(key, fault)?;
    check_parts(key, fault, experiment)?;
    check_requests(key, fault, experiment)?;
    check_presence(key, fault)?;
    for (part, target) in [("on", Some(&fault.on)), ("to", fault.to.as_ref())] {
        let Some(target) = target else { continue };
        check_target(&format!("{key}.{part}"), target, experiment)?;
    }
    Ok(())
}

/// Validates the start, the number of occurrences, and whether balancers support disk faults.
fn check_times(key: &str, fault: &Fault, experiment: &Experiment) -> Result<(), Invalid> {
    use FaultKind::*;
    let invalid = |part: &str, what: String| Err((format!("{key}.{part}"), what));
    if fault.at.0.most > experiment.length.0.least {
        return invalid("at", "must be within the length of the experiment".into());
    }
    if fault.delay.is_some() != matches!(fault.kind, DatagramDelay | DiskSlow | Outage) {
        return invalid(
            "delay",
            "required for datagram-delay, disk-slow and outage, and not allowed for other kinds"
                .into(),
        );
    }
    if (fault.times > 1) != fault.every.is_some() || !(1..=10_000).contains(&fault.times) {
        return invalid(
            "times",
            "must be from 1 to 10000; `every` is required if and only if it is above 1".into(),
        );
    }
    if matches!(fault.kind, PowerLoss | DiskFull | DiskFailing | DiskSlow)
        && !experiment.injects_disk_faults()
    {
        let what =
            "requires disk fault injection in the options: [options.recovery] dir = \"{state}\", drill = \"{drill}\"";
        return invalid("kind", what.into());
    }
    Ok(())
}

/// Validates the magnitude.
fn check_size(key: &str, fault: &Fault) -> Result<(), Invalid> {
    use FaultKind::*;
    let invalid = |part: &str, what: &str| Err((format!("{key}.{part}"), what.to_owned()));
    let sized = matches!(
        fault.kind,
        Slow | Errors | Burst | Outage | DatagramLoss | DatagramRepeat | DatagramGarbage
    );
    if fault.size.is_some() != sized {
        let what = if sized {
            "missing: this kind requires a size"
        } else {
            "not allowed for this kind"
        };
        return invalid("size", what);
    }
    if matches!(fault.kind, Errors | Outage | DatagramLoss | DatagramRepeat)
        && fault.size.is_some_and(|s| s.most > 1.0)
    {
        return invalid("size", "must be at most 1");
    }
    Ok(())
}

/// Validates the other side of a partition and the build of an upgrade.
fn check_parts(key: &str, fault: &Fault, experiment: &Experiment) -> Result<(), Invalid> {
    use FaultKind::*;
    let invalid = |part: &str, what: String| Err((format!("{key}.{part}"), what));
    if (fault.to.is_some() || fault.one_way) && fault.kind != Cut {
        return invalid("to", "allowed for cut only".into());
    }
    if fault.kind != Upgrade && (fault.build.is_some() || fault.pace.is_some()) {
        let part = if fault.build.is_some() {
            "build"
        } else {
            "pace"
        };
        return invalid(part, "allowed for upgrade only".into());
    }
    if let Some(name) = fault
        .build
        .as_ref()
        .filter(|n| !experiment.builds.iter().any(|b| b.name == **n))
    {
        return invalid("build", format!("there is no build {name:?}"));
    }
    Ok(())
}

/// Validates the requests that a burst multiplies.
fn check_requests(key: &str, fault: &Fault, experiment: &Experiment) -> Result<(), Invalid> {
    let Some(of) = &fault.of else {
        return Ok(());
    };
    if fault.kind != FaultKind::Burst {
        return Err((format!("{key}.of"), "allowed for burst only".into()));
    }
    for (part, missing) in [
        (
            "tenant",
            unknown_name(&of.tenant, experiment.tenants.iter().map(|t| &t.name)),
        ),
        (
            "class",
            unknown_name(&of.class, experiment.classes.iter().map(|c| &c.name)),
        ),
        (
            "zone",
            unknown_name(&of.zone, experiment.fleet.zones.iter()),
        ),
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

/// Validates keys that a kind requires or does not allow.
fn check_presence(key: &str, fault: &Fault) -> Result<(), Invalid> {
    use FaultKind::*;
    let invalid = |part: &str, what: &str| Err((format!("{key}.{part}"), what.to_owned()));
    if fault.state.is_some() && !matches!(fault.kind, Kill | Terminate) {
        return invalid("state", "allowed for kill and terminate only");
    }
    if fault.kind == Cut && fault.to.is_none() {
        return invalid("to", "missing: a cut requires both sides");
    }
    if fault.lasts.is_none() && !matches!(fault.kind, Reset | DiscoveryMove) {
        return invalid("for", "missing: this kind requires a duration");
    }
    Ok(())
}

/// Returns the name if it is not among the given ones.
fn unknown_name<'a>(
    name: &Option<String>,
    mut all: impl Iterator<Item = &'a String>,
) -> Option<String> {
    name.as_ref()
        .filter(|name| !all.any(|x| x == *name))
        .cloned()
}
