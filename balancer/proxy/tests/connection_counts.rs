//! Client connections by tenant: each is counted once, for the tenant of its last request.
#[allow(dead_code)]
#[path = "../src/connection_counts.rs"]
mod connection_counts;

use connection_counts::ConnectionCounts;

#[test]
fn connection_counts_once_for_its_last_tenant() {
    let counts = ConnectionCounts::new(2);
    let (first, second) = (counts.register(), counts.register());
    assert_eq!(counts.by_tenant(), [0, 0]);
    first.assign_to(0);
    first.assign_to(1);
    second.assign_to(1);
    // A tenant index outside the table changes nothing.
    counts.register().assign_to(7);
    assert_eq!(counts.by_tenant(), [0, 2]);
    drop(first);
    assert_eq!(counts.by_tenant(), [0, 1]);
}
