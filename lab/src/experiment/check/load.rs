//! Validation of classes, tenants and clients.
use super::names::Invalid;
use crate::experiment::load::{Class, Clients, Tenant};

pub(super) fn check_class(key: &str, class: &Class) -> Result<(), Invalid> {
    let invalid = |part: &str, what: &str| Err((format!("{key}.{part}"), what.to_string()));
    if !(class.share > 0.0 && class.share.is_finite()) {
        return invalid("share", "must be above 0");
    }
    if class.work.least <= 0.0 {
        return invalid("work", "must be above 0");
    }
    if class.latency_target.0.least <= 0.0 {
        return invalid("aim", "must be above 0");
    }
    if class.deadline.0.least < class.latency_target.0.most {
        return invalid("deadline", "must be at least `aim`");
    }
    Ok(())
}

pub(super) fn check_clients(clients: &Clients) -> Result<(), Invalid> {
    let invalid = |part: &str, what: &str| Err((format!("clients.{part}"), what.to_string()));
    match (&clients.rate, &clients.load) {
        (Some(_), Some(_)) => return invalid("load", "rate and load are mutually exclusive"),
        (None, None) => return invalid("rate", "missing: either rate or load must be given"),
        (Some(rate), None) if !(0.1..=50_000.0).contains(&rate.least) || rate.most > 50_000.0 => {
            return invalid("rate", "must be from 0.1 to 50000 per second");
        }
        (None, Some(load)) if load.least <= 0.0 || load.most > 10.0 => {
            return invalid("load", "must be above 0 and at most 10");
        }
        _ => {}
    }
    if clients.retries > 10 {
        return invalid("retries", "must be at most 10");
    }
    if clients.try_share.least <= 0.0 || clients.try_share.most > 1.0 {
        return invalid("try_share", "must be above 0 and at most 1");
    }
    for (part, value) in [("honour", clients.honour), ("impatient", clients.impatient)] {
        if !(0.0..=1.0).contains(&value) {
            return invalid(part, "must be from 0 to 1");
        }
    }
    Ok(())
}

pub(super) fn check_tenants(tenants: &[Tenant], classes: &[Class]) -> Result<(), Invalid> {
    for (i, tenant) in tenants.iter().enumerate() {
        let invalid = |part: &str, what: String| Err((format!("tenant[{i}].{part}"), what));
        if !(tenant.share > 0.0 && tenant.share.is_finite()) {
            return invalid("share", "must be above 0".into());
        }
        let own = tenant.rate.is_some() || tenant.load.is_some();
        if tenant.rate.is_some() && tenant.load.is_some() {
            return invalid("load", "rate and load are mutually exclusive".into());
        }
        if tenant
            .rate
            .or(tenant.load)
            .is_some_and(|r| r.least <= 0.0 || r.most > 50_000.0)
        {
            let key = if tenant.rate.is_some() {
                "rate"
            } else {
                "load"
            };
            return invalid(key, "must be above 0 and at most 50000".into());
        }
        if (tenant.classes.is_some() || tenant.during.is_some()) && !own {
            let key = if tenant.classes.is_some() {
                "classes"
            } else {
                "during"
            };
            return invalid(key, "requires a rate or load of the tenant".into());
        }
        let named = tenant.classes.iter().flatten();
        if let Some(name) = named
            .clone()
            .find(|n| !classes.iter().any(|class| class.name == **n))
        {
            return invalid("classes", format!("there is no class {name:?}"));
        }
        if tenant.classes.as_ref().is_some_and(Vec::is_empty) {
            return invalid("classes", "must name at least one class".into());
        }
        if tenant.hops.is_some_and(|s| s.0.least < 1.0) {
            return invalid("hops", "must be at least 1ms".into());
        }
        if tenant
            .connections
            .is_some_and(|n| !(1..=20_000).contains(&n))
        {
            return invalid("connections", "must be from 1 to 20000".into());
        }
    }
    if tenants
        .iter()
        .all(|tenant| tenant.rate.is_some() || tenant.load.is_some())
    {
        return Err((
            "tenant".into(),
            "at least one tenant must have neither rate nor load".into(),
        ));
    }
    Ok(())
}
