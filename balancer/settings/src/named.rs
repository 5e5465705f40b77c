//! Names the key of the settings that the decision module refuses: it has names of its own for some of them, and says of
//! entries of a list only that one is wrong. Owns no state.
use balancer_core::{Class, Settings, SettingsError, Tenant};

/// The message, with the key at fault first.
pub(crate) fn refusal(settings: &Settings, error: &SettingsError) -> String {
    let must = format!("must be {}", error.must);
    match error.field.split_once('.') {
        Some(("classes", key)) => {
            let refused = |class: &Class| {
                let alone = Settings {
                    classes: vec![class.clone()],
                    ..Settings::default()
                };
                alone.validate().is_err()
            };
            let i = settings
                .classes
                .iter()
                .position(refused)
                .unwrap_or_default();
            format!("classes[{i}].{}: {must}", key_of_class(key))
        }
        Some(("tenants", key)) => {
            let refused = |tenant: &Tenant| {
                let alone = Settings {
                    tenants: vec![tenant.clone()],
                    ..Settings::default()
                };
                alone.validate().is_err()
            };
            let i = settings
                .tenants
                .iter()
                .position(refused)
                .unwrap_or_default();
            format!("tenants[{i}].{key}: {must}")
        }
        _ => format!("{}: {must}", key_of(error.field)),
    }
}

fn key_of_class(field: &str) -> &str {
    match field {
        "worth" => "importance",
        "window" => "repeat_window",
        same => same,
    }
}

fn key_of(field: &str) -> &str {
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
