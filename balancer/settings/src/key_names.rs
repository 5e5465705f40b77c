//! Maps a validation error of the balancer to the path of the JSON key. The balancer has its own names for some
//! settings, and its errors about entries of a list do not say which entry is invalid.
use crate::error::DeploymentError;
use balancer_core::{Class, Settings, SettingsError, Tenant};

/// Adds the path of the invalid key to an error.
pub(crate) fn with_key(settings: &Settings, error: SettingsError) -> DeploymentError {
    let key = match error.field.split_once('.') {
        Some(("classes", field)) => {
            let position = settings.classes.iter().position(is_class_invalid);
            let position = position.unwrap_or_default();
            format!("classes[{position}].{}", class_key(field))
        }
        Some(("tenants", field)) => {
            let position = settings.tenants.iter().position(is_tenant_invalid);
            let position = position.unwrap_or_default();
            format!("tenants[{position}].{field}")
        }
        _ => settings_key(error.field).to_string(),
    };
    DeploymentError::Refused { key, source: error }
}

fn is_class_invalid(class: &Class) -> bool {
    let single = Settings {
        classes: vec![class.clone()],
        ..Settings::default()
    };
    single.validate().is_err()
}

fn is_tenant_invalid(tenant: &Tenant) -> bool {
    let single = Settings {
        tenants: vec![tenant.clone()],
        ..Settings::default()
    };
    single.validate().is_err()
}

fn class_key(field: &str) -> &str {
    match field {
        "worth" => "importance",
        "window" => "repeat_window",
        unchanged => unchanged,
    }
}

fn settings_key(field: &str) -> &str {
    match field {
        "attempts_cap" => "permissions.attempts_cap",
        "idle_close" => "permissions.idle_close",
        "max_retry_after" => "permissions.max_retry_after",
        "ask_within" => "invariants.ask_within",
        "cold_from" => "invariants.cold_from",
        "ramp_time" => "invariants.ramp_time",
        "tip_multiple" => "invariants.tip_multiple",
        "cross_zone_price" => "charges.cross_zone",
        unchanged => unchanged,
    }
}
