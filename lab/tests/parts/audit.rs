//! Comparison of a balancer's metrics with what the stand-ins saw.
use balancer_lab::audit::{find_differences, BalancerMetrics};
use balancer_lab::oracle::ObservedCounts;

/// Metrics as a balancer writes them.
fn counted(requests: u64, served: u64, attempts: u64) -> BalancerMetrics {
    let text = format!(
        r#"{{"at_ms": 1, "requests": {requests},
            "ended": {{"served": {served}, "refused_over_limit": 2, "failed": 1}}, "attempts": {attempts},
            "attempts_ended": {{"served": 7, "not_connected": 1, "error": 1, "timed_out": 1}}}}"#
    );
    serde_json::from_str(&text).expect("figures")
}

#[test]
fn reports_only_differences_beyond_the_unclear_requests() {
    let seen = ObservedCounts {
        taken: 10,
        served: 6,
        refused: 2,
        failed: 1,
        unclear: 1,
        attempts: 8,
    };
    assert_eq!(find_differences(&counted(10, 7, 10), &seen), None);
    assert_eq!(
        find_differences(&counted(12, 7, 10), &seen).as_deref(),
        Some("requests: counted 12, seen 10")
    );
    assert!(find_differences(&counted(10, 7, 13), &seen).is_some_and(|d| d.starts_with("attempts")));
    assert!(find_differences(&counted(10, 4, 10), &seen)
        .is_some_and(|d| d.contains("served: counted 4, seen 6")));
}
