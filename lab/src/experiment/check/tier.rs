//! Validation of tiers.
use super::names::{distinct, Invalid};
use crate::experiment::tier::Tier;

pub(super) fn check_tier(key: &str, tier: &Tier, last: bool) -> Result<(), Invalid> {
    let invalid = |part: &str, what: &str| Err((format!("{key}.{part}"), what.to_string()));
    if !(1..=300).contains(&tier.upstreams) {
        return invalid("upstreams", "must be from 1 to 300");
    }
    if !(tier.work > 0.0 && tier.work.is_finite()) {
        return invalid("work", "must be above 0");
    }
    if last && tier.calls.most > 0.0 {
        return invalid("calls", "must be 0 for the last tier");
    }
    if !last && !(1.0..=8.0).contains(&tier.calls.least) {
        return invalid(
            "calls",
            "must be from 1 to 8 for a tier that is not the last",
        );
    }
    if tier.cell == 0 {
        return invalid("cell", "must be at least 1");
    }
    distinct(&format!("{key}.kind"), tier.kinds.iter().map(|k| &k.name))?;
    if tier.kinds.is_empty() {
        return invalid("kind", "must be given at least once");
    }
    for (i, kind) in tier.kinds.iter().enumerate() {
        if !(kind.share > 0.0 && kind.share.is_finite()) {
            return invalid(&format!("kind[{i}].share"), "must be above 0");
        }
        if kind.cores == 0 || kind.speed.least <= 0.0 || kind.slots.least < 1.0 {
            return invalid(
                &format!("kind[{i}]"),
                "cores, speed and slots must be above 0",
            );
        }
        if kind.slow_start_from.least <= 0.0 || kind.slow_start_from.most > 1.0 {
            return invalid(
                &format!("kind[{i}].cold_from"),
                "must be above 0 and at most 1",
            );
        }
        if kind.errors.most > 1.0 {
            return invalid(&format!("kind[{i}].errors"), "must be at most 1");
        }
    }
    Ok(())
}
