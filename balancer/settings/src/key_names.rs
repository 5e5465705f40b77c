//! Names the key of the settings that the balancer refuses: it has names of its own for some of them, and says of
//! entries of a list only that one is wrong. Owns no state.
use crate::error::DeploymentError;
use balancer_core::{Class, Settings, SettingsError, Tenant};

/// The error with the key at fault.
pub(crate) fn with_key(settings: &Settings, error: SettingsError) -> DeploymentError {
    let key = match error.field.split_once('.') {
        Some(("classes", field)) => {
            let position = settings.classes.iter().position(is_class_refused);
            let position = position.unwrap_or_default();
            format!("classes[{position}].{}", class_key(field))
        }
        Some(("tenants", field)) => {
            let position = settings.tenants.iter().position(is_tenant_refused);
            let position = position.unwrap_or_default();
            format!("tenants[{position}].{field}")
        }
        _ => settings_key(error.field).to_string(),
    };
    DeploymentError::Refused { key, source: error }
}

fn is_class_refused(class: &Class) -> bool {
    let alone = Settings {
        classes: vec![class.clone()],
        ..Settings::default()
    };
    alone.validate().is_err()
}

fn is_tenant_refused(tenant: &Tenant) -> bool {
    let alone = Settings {
        tenants: vec![tenant.clone()],
        ..Settings::default()
    };
    alone.validate().is_err()
}

fn class_key(field: &str) -> &str {
    match field {
        "worth" => "importance",
        "window" => "repeat_window",
        same => same,
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
        same => same,
    }
}
