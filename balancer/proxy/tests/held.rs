//! Clients' connections by tenant: each is counted once, for the tenant of its last request.
#[allow(dead_code)]
#[path = "../src/held.rs"]
mod held;

use held::Held;

#[test]
fn a_connection_counts_once_for_the_tenant_of_its_last_request() {
    let held = Held::new(2);
    let (first, second) = (held.connection(), held.connection());
    assert_eq!(held.counts(), [0, 0]);
    first.is_of(0);
    first.is_of(1);
    second.is_of(1);
    // A place that there is none of changes nothing.
    held.connection().is_of(7);
    assert_eq!(held.counts(), [0, 2]);
    drop(first);
    assert_eq!(held.counts(), [0, 1]);
}
