//! The overload window of upstreams in slow start is passed from the settings to the balancer.
use balancer_settings::deployment;

const SETTINGS: &str = r#"{"balancers": 2, "index": 1, "membership_mode": "pushed",
    "classes": [{"objective": 100, "deadline": 400, "effect": "free"}],
    "permissions": {"attempts_cap": 3},
    "invariants": {"fall": 1500, "cold_from": 0.2, "ramp_time": 9000, "tip_multiple": 3}}"#;

#[test]
fn overload_window_is_read_and_has_a_default() {
    let overload_window =
        |json: &str| deployment(json.as_bytes()).map(|d| d.policy.overload_window);
    assert_eq!(overload_window(SETTINGS), Ok(1500.0));
    assert_eq!(
        overload_window(&SETTINGS.replace("\"fall\": 1500, ", "")),
        Ok(3000.0)
    );
    let zero = overload_window(&SETTINGS.replace("1500", "0"));
    assert!(zero.as_ref().is_err_and(|e| e.contains("fall")), "{zero:?}");
}
