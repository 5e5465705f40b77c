//! Builds and the metrics of rules.
use super::names::{distinct, Wrong};
use super::target::check_target;
use crate::experiment::schema::Experiment;
use crate::experiment::units::Span;

pub(super) fn check_builds(e: &Experiment) -> Result<(), Wrong> {
    distinct("build", e.builds.iter().map(|b| &b.name))?;
    for (i, build) in e.builds.iter().enumerate() {
        if let Some(on) = &build.on {
            check_target(&format!("build[{i}].on"), on, e)?;
        }
    }
    Ok(())
}

pub(super) fn check_bounds(e: &Experiment) -> Result<(), Wrong> {
    let wrong = |part: &str, what: String| Err((format!("bounds.{part}"), what));
    if e.bounds.retries.is_some_and(|r| !(0.0..=10.0).contains(&r)) {
        return wrong("retries", "must be from 0 to 10".into());
    }
    for (i, t) in e.bounds.trials.iter().enumerate() {
        if !e.fleet.zones.contains(&t.zone) {
            return wrong(
                &format!("trials[{i}].zone"),
                format!("{:?} is not among fleet.zones", t.zone),
            );
        }
        if let Some(tier) = t
            .tier
            .as_ref()
            .filter(|t| !e.tiers.iter().any(|x| x.name == **t))
        {
            return wrong(
                &format!("trials[{i}].tier"),
                format!("there is no tier {tier:?}"),
            );
        }
        check_stretch(&format!("bounds.trials[{i}].during"), t.during)?;
    }
    if let Some(s) = &e.bounds.in_share {
        if let Some(name) = s
            .tenants
            .iter()
            .find(|n| !e.tenants.iter().any(|t| t.name == **n))
        {
            return wrong("in_share.tenants", format!("there is no tenant {name:?}"));
        }
        if !(0.0..=1.0).contains(&s.least) {
            return wrong("in_share.least", "must be from 0 to 1".into());
        }
        check_stretch("bounds.in_share.before", s.before)?;
        check_stretch("bounds.in_share.during", s.during)?;
    }
    Ok(())
}

/// A stretch of the run, from its first time to its second.
pub(super) fn check_stretch(key: &str, span: Span) -> Result<(), Wrong> {
    match span.0.least < span.0.most {
        true => Ok(()),
        false => Err((key.into(), "must be two times, from and to".into())),
    }
}
