//! Validation of builds and rule limits.
use super::names::{distinct, Invalid};
use super::target::check_target;
use crate::experiment::schema::Experiment;
use crate::experiment::units::Span;

pub(super) fn check_builds(experiment: &Experiment) -> Result<(), Invalid> {
    distinct("build", experiment.builds.iter().map(|b| &b.name))?;
    for (i, build) in experiment.builds.iter().enumerate() {
        if let Some(on) = &build.on {
            check_target(&format!("build[{i}].on"), on, experiment)?;
        }
    }
    Ok(())
}

pub(super) fn check_bounds(experiment: &Experiment) -> Result<(), Invalid> {
    let invalid = |part: &str, what: String| Err((format!("bounds.{part}"), what));
    if experiment
        .bounds
        .retries
        .is_some_and(|r| !(0.0..=10.0).contains(&r))
    {
        return invalid("retries", "must be from 0 to 10".into());
    }
    for (i, t) in experiment.bounds.trials.iter().enumerate() {
        if !experiment.fleet.zones.contains(&t.zone) {
            return invalid(
                &format!("trials[{i}].zone"),
                format!("{:?} is not among fleet.zones", t.zone),
            );
        }
        if let Some(tier) = t
            .tier
            .as_ref()
            .filter(|t| !experiment.tiers.iter().any(|x| x.name == **t))
        {
            return invalid(
                &format!("trials[{i}].tier"),
                format!("there is no tier {tier:?}"),
            );
        }
        check_interval(&format!("bounds.trials[{i}].during"), t.during)?;
    }
    if let Some(s) = &experiment.bounds.in_share {
        if let Some(name) = s
            .tenants
            .iter()
            .find(|n| !experiment.tenants.iter().any(|t| t.name == **n))
        {
            return invalid("in_share.tenants", format!("there is no tenant {name:?}"));
        }
        if !(0.0..=1.0).contains(&s.least) {
            return invalid("in_share.least", "must be from 0 to 1".into());
        }
        check_interval("bounds.in_share.before", s.before)?;
        check_interval("bounds.in_share.during", s.during)?;
    }
    Ok(())
}

/// Validates an interval of the run.
pub(super) fn check_interval(key: &str, span: Span) -> Result<(), Invalid> {
    match span.0.least < span.0.most {
        true => Ok(()),
        false => Err((
            key.into(),
            "must be an interval [from, to] with from before to".into(),
        )),
    }
}
