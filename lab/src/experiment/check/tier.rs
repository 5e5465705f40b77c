//! A tier of upstreams.
use super::names::{distinct, Wrong};
use crate::experiment::tier::Tier;

pub(super) fn check_tier(key: &str, tier: &Tier, last: bool) -> Result<(), Wrong> {
    let wrong = |part: &str, what: &str| Err((format!("{key}.{part}"), what.to_string()));
    if !(1..=300).contains(&tier.upstreams) {
        return wrong("upstreams", "must be from 1 to 300");
    }
    if !(tier.work > 0.0 && tier.work.is_finite()) {
        return wrong("work", "must be above 0");
    }
    if last && tier.calls.most > 0.0 {
        return wrong("calls", "the last tier has nobody to call");
    }
    if !last && !(1.0..=8.0).contains(&tier.calls.least) {
        return wrong("calls", "a tier that is not the last makes 1 to 8 calls");
    }
    if tier.cell == 0 {
        return wrong("cell", "must be at least 1");
    }
    distinct(&format!("{key}.kind"), tier.kinds.iter().map(|k| &k.name))?;
    if tier.kinds.is_empty() {
        return wrong("kind", "must be given at least once");
    }
    for (i, kind) in tier.kinds.iter().enumerate() {
        if !(kind.share > 0.0 && kind.share.is_finite()) {
            return wrong(&format!("kind[{i}].share"), "must be above 0");
        }
        if kind.cores == 0 || kind.speed.least <= 0.0 || kind.slots.least < 1.0 {
            return wrong(
                &format!("kind[{i}]"),
                "cores, speed and slots must be above 0",
            );
        }
        if kind.slow_start_from.least <= 0.0 || kind.slow_start_from.most > 1.0 {
            return wrong(
                &format!("kind[{i}].cold_from"),
                "must be above 0 and at most 1",
            );
        }
        if kind.errors.most > 1.0 {
            return wrong(&format!("kind[{i}].errors"), "must be at most 1");
        }
    }
    Ok(())
}
