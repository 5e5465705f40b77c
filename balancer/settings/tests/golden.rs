//! Settings as values, field by field, and the keys of the files in `deploy/sites`. Operators' files use these keys and
//! are kept across versions: a key keeps its name and meaning even if the field behind it is renamed.
use balancer_core::{Class, DedupScope, Effect, Settings, Tenant};
use balancer_settings::{deployment, Deployment};
use serde_json::Value;

const FULL: &str = include_str!("golden/full.json");
const MINIMAL: &str = include_str!("golden/minimal.json");
const WIRE: &str = include_str!("../../../deploy/sites/wire.json");
const REAL: &str = include_str!("../../../deploy/sites/real.json");

fn names(list: &[&str]) -> Vec<String> {
    list.iter().map(|name| name.to_string()).collect()
}

fn guarded(scope: DedupScope, window: f64) -> Effect {
    Effect::Guarded { scope, window }
}

fn basic_class(objective: f64, deadline: f64, effect: Effect) -> Class {
    Class {
        objective,
        deadline,
        effect,
        late_value: 0.0,
        value: 1.0,
        zones: None,
        kinds: None,
    }
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "a value with every field written out"
)]
fn full_settings_are_read_field_by_field() {
    let classes = vec![
        Class {
            late_value: 0.25,
            value: 8.5,
            ..basic_class(101.0, 402.0, Effect::Free)
        },
        Class {
            late_value: 0.125,
            value: 9.5,
            zones: Some(vec![0, 1]),
            kinds: Some(vec![2, 1]),
            ..basic_class(103.5, 404.5, guarded(DedupScope::All, 905.0))
        },
        Class {
            zones: Some(vec![1]),
            ..basic_class(106.0, 407.0, guarded(DedupScope::Zone, 908.0))
        },
        Class {
            kinds: Some(vec![0]),
            ..basic_class(109.0, 410.0, guarded(DedupScope::Cell, 911.0))
        },
        basic_class(112.0, 413.0, guarded(DedupScope::All, 0.0)),
        basic_class(114.0, 415.0, Effect::SingleShot),
    ];
    let tenants = vec![
        Tenant {
            share: 1.5,
            quota_per_s: 51.0,
        },
        Tenant {
            share: 2.5,
            quota_per_s: 0.0,
        },
    ];
    let policy = Settings {
        index: 3,
        balancers: 7,
        stage: 2,
        zone: 1,
        classes,
        tenants,
        max_attempts: 5,
        cancel: true,
        subscribes: true,
        subscribe_timeout: 9007.0,
        idle_close: 5002.0,
        max_retry_after: 2001.0,
        slow_start_from: 0.375,
        slow_start_time: 9004.0,
        overload_multiple: 3.5,
        overload_window: 1006.0,
        late_shedding: true,
        cross_zone_price: 0.0625,
    };
    let expected = Deployment {
        policy,
        classes: names(&["read", "order", "note", "mark", "plain", "pay"]),
        tenants: names(&["club", "guild"]),
        zones: names(&["hampi", "bidar"]),
        kinds: names(&["m1", "m2", "m3"]),
        dial_timeout: 254.0,
        max_open: 9003,
        peers: true,
        in_flight_column: Some(2),
        served_column: Some(1),
    };
    assert_eq!(deployment(FULL.as_bytes()), Ok(expected));
}

#[test]
fn minimal_settings_are_read_field_by_field() {
    let policy = Settings {
        index: 0,
        balancers: 1,
        stage: 0,
        zone: 0,
        classes: vec![basic_class(101.0, 402.0, Effect::Free)],
        tenants: Vec::new(),
        max_attempts: 3,
        cancel: false,
        subscribes: false,
        subscribe_timeout: 10_000.0,
        idle_close: 5000.0,
        max_retry_after: 0.0,
        slow_start_from: 0.375,
        slow_start_time: 9004.0,
        overload_multiple: 3.5,
        overload_window: 3000.0,
        late_shedding: false,
        cross_zone_price: 0.0,
    };
    let expected = Deployment {
        policy,
        classes: names(&[""]),
        tenants: Vec::new(),
        zones: Vec::new(),
        kinds: Vec::new(),
        dial_timeout: 250.0,
        max_open: 20_000,
        peers: false,
        in_flight_column: None,
        served_column: None,
    };
    assert_eq!(deployment(MINIMAL.as_bytes()), Ok(expected));
}

/// Appends a line with the path and the value of each leaf of a JSON value.
fn flatten(path: &str, value: &Value, to: &mut Vec<String>) {
    let mut descend = |key: &str, value| flatten(&format!("{path}/{key}"), value, to);
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            fields.iter().for_each(|(key, value)| descend(key, value));
        }
        Value::Array(items) if !items.is_empty() => {
            items
                .iter()
                .enumerate()
                .for_each(|(at, value)| descend(&at.to_string(), value));
        }
        leaf => to.push(format!("{path}: {leaf}")),
    }
}

fn assert_flattened(json: &str, stored: &str) {
    let mut flattened = Vec::new();
    flatten(
        "",
        &serde_json::from_str(json).expect("JSON"),
        &mut flattened,
    );
    flattened.sort();
    let mut expected: Vec<&str> = stored.lines().collect();
    expected.sort_unstable();
    assert!(flattened == expected, "now:\n{}", flattened.join("\n"));
}

#[test]
fn simulator_wire_file_matches_stored_values() {
    assert_flattened(WIRE, include_str!("golden/wire.txt"));
}

#[test]
fn real_request_file_matches_stored_values() {
    assert_flattened(REAL, include_str!("golden/real.txt"));
}

/// The wire file maps names to the keys of the settings. Each of these keys is in the full settings, whose values are
/// checked field by field above, so the settings are read by the keys of the wire file.
#[test]
fn settings_use_the_key_names_of_the_wire() {
    let wire: Value = serde_json::from_str(WIRE).expect("JSON");
    let full: Value = serde_json::from_str(FULL).expect("JSON");
    let renamed = [
        ("zones", ""),
        ("tier", ""),
        ("me", ""),
        ("prices", ""),
        ("limits", ""),
        ("rules", ""),
        ("discovery", ""),
        ("report", ""),
        ("fields", "/stats"),
        ("aim", "/classes/1"),
        ("worth", "/classes/1"),
        ("group", "/classes/1"),
        ("window", "/classes/1"),
        ("classes.only_zones", "/classes/1"),
        ("classes.only_kinds", "/classes/1"),
        ("max_attempts", "/permissions"),
        ("connect_timeout", "/permissions"),
        ("conn_idle", "/permissions"),
        ("cold", "/invariants"),
        ("fall_multiple", "/invariants"),
        ("rules.full_may_have_run", "/invariants"),
    ];
    for (name, parent) in renamed {
        let key = wire["init"]["rename"][name].as_str().expect(name);
        let value = full.pointer(parent).and_then(|object| object.get(key));
        assert!(value.is_some(), "{name}: no {key} in {parent:?}");
    }
    let values = ["safe", "keyed", "unsafe", "ask"].map(|name| &wire["init"]["words"][name]);
    let classes = [0, 1, 5].map(|class| &full["classes"][class]["effect"]);
    assert_eq!(
        (values[..3].to_vec(), values[3]),
        (classes.to_vec(), &full["membership_mode"])
    );
    let minimal: Value = serde_json::from_str(MINIMAL).expect("JSON");
    assert_eq!(wire["init"]["words"]["push"], minimal["membership_mode"]);
}
