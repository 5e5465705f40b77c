//! Validation of targets.
use super::names::Invalid;
use crate::experiment::fault::Target;
use crate::experiment::schema::Experiment;

pub(super) fn check_target(
    key: &str,
    target: &Target,
    experiment: &Experiment,
) -> Result<(), Invalid> {
    let invalid = |part: &str, what: String| Err((format!("{key}.{part}"), what));
    if let Some(zone) = target
        .zone
        .as_ref()
        .filter(|z| !experiment.fleet.zones.contains(z))
    {
        return invalid("zone", format!("{zone:?} is not among fleet.zones"));
    }
    if let Some(region) = target
        .region
        .as_ref()
        .filter(|r| !experiment.fleet.regions.contains_key(*r))
    {
        return invalid("region", format!("there is no region {region:?}"));
    }
    if let Some(tier) = target
        .tier
        .as_ref()
        .filter(|t| !experiment.tiers.iter().any(|x| x.name == **t))
    {
        return invalid("tier", format!("there is no tier {tier:?}"));
    }
    if target.share.is_some_and(|s| !(s > 0.0 && s <= 1.0)) {
        return invalid("share", "must be above 0 and at most 1".into());
    }
    Ok(())
}
