//! Parsed values and defaults of settings, and the errors of invalid ones.
use balancer_core::{DedupScope, Effect, Settings};
use balancer_settings::deployment;

fn parse(json: &[u8]) -> Result<Settings, String> {
    deployment(json).map(|d| d.policy)
}

const MINIMAL: &str = r#"{"balancers": 2, "index": 1, "membership_mode": "pushed", "novel": [1],
    "classes": [{"objective": 100, "deadline": 400, "effect": "guarded", "dedup_scope": "cell",
                 "repeat_window": 900}],
    "permissions": {"attempts_cap": 3},
    "invariants": {"fall": 1000, "cold_from": 0.2, "ramp_time": 9000, "tip_multiple": 3}}"#;

#[test]
fn optional_keys_default_and_unknown_keys_are_ignored() {
    let s = parse(MINIMAL.as_bytes()).unwrap();
    assert_eq!(
        s.classes[0].effect,
        Effect::Guarded {
            scope: DedupScope::Cell,
            window: 900.0
        }
    );
    assert!(!deployment(MINIMAL.as_bytes()).unwrap().peers);
    let with_peers = MINIMAL.replace(
        "\"attempts_cap\": 3",
        "\"attempts_cap\": 3, \"peers\": true",
    );
    assert!(deployment(with_peers.as_bytes()).unwrap().peers);
    assert_eq!(
        (s.idle_close, s.subscribe_timeout, s.stage, s.subscribes),
        (5000.0, 10_000.0, 0, false)
    );
    let value = |keys: &str| {
        parse(MINIMAL.replace("\"effect\"", keys).as_bytes()).map(|s| s.classes[0].value)
    };
    assert_eq!(value("\"importance\": 8, \"effect\""), Ok(8.0));
    assert_eq!(value("\"effect\""), Ok(1.0));
}

#[test]
fn load_report_columns_are_found_by_name() {
    let column = |stats: &str| {
        deployment(MINIMAL.replace("\"novel\": [1]", stats).as_bytes())
            .map(|d| (d.in_flight_column, d.served_column))
    };
    let named = r#""stats": {"columns": ["latency_ms", "inflight", "qps"], "via": "answers"}"#;
    assert_eq!(column(named), Ok((Some(1), Some(2))));
    assert_eq!(column(r#""stats": {"via": "none"}"#), Ok((None, None)));
    assert_eq!(column("\"novel\": [1]"), Ok((None, None)));
}

#[test]
fn errors_name_missing_keys_and_invalid_values() {
    let error = |from: &str, to: &str| parse(MINIMAL.replace(from, to).as_bytes()).unwrap_err();
    assert!(error("\"balancers\": 2, ", "").contains("balancers"));
    assert!(error("\"tip_multiple\": 3", "\"x\": 1").contains("tip_multiple"));
    assert!(error("guarded", "sometimes").contains("sometimes"));
    assert!(error("pushed", "shouted").contains("shouted"));
    assert!(error("\"balancers\": 2", "\"balancers\": 0").contains("balancers"));
    assert!(error("\"ramp_time\": 9000", "\"ramp_time\": \"x\"")
        .contains("invariants.ramp_time: invalid type"));
    assert!(error("\"objective\": 100", "\"objective\": []").contains("classes[0].objective"));
    assert!(error("\"effect\"", "\"runs_in\": [], \"effect\"").starts_with("classes[0].runs_in: "));
    assert!(parse(b"{").is_err());
    assert!(
        parse(format!("{MINIMAL} x").as_bytes()).is_err(),
        "text after the settings must be refused"
    );
}
