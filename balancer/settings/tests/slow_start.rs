//! The window of the slow-start budget reaches the decisions.
use balancer_settings::deployment;

const INVARIANTS: &str = r#"{"balancers": 2, "index": 1, "membership_mode": "pushed",
    "classes": [{"objective": 100, "deadline": 400, "effect": "free"}],
    "permissions": {"attempts_cap": 3},
    "invariants": {"fall": 1500, "cold_from": 0.2, "ramp_time": 9000, "tip_multiple": 3}}"#;

#[test]
fn the_window_of_the_slow_start_budget_is_read_and_may_be_left_out() {
    let fall = |json: &str| deployment(json.as_bytes()).map(|d| d.policy.overload_window);
    assert_eq!(fall(INVARIANTS), Ok(1500.0));
    assert_eq!(
        fall(&INVARIANTS.replace("\"fall\": 1500, ", "")),
        Ok(3000.0)
    );
    let zero = fall(&INVARIANTS.replace("1500", "0"));
    assert!(zero.as_ref().is_err_and(|e| e.contains("fall")), "{zero:?}");
}
