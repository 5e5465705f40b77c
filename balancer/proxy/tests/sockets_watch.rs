//! The discovery watch on loopback sockets, and reloads that change its address.
mod common;
use common::*;

#[test]
fn watch_follows_versions_and_ignores_bad_responses() {
    let (old, new) = (
        Upstream::start(|_| ok("old")),
        Upstream::start(|_| ok("new")),
    );
    let node = Node::start(1024, &listing(5, true, &[(0, old.addr, "active")]));
    let discovery = &node.discovery;
    let mut client = node.client();
    let mut response_body =
        |id: &str| String::from_utf8(client.call(&get(id, "5000m")).body).expect("UTF-8 text");
    assert!(discovery
        .next_call_path()
        .starts_with("/api/targets?since=5&timeout_ms="));
    assert_eq!(response_body("r1"), "old");
    let changes = [(0, old.addr, "leaving"), (1, new.addr, "active")];
    discovery.respond(&listing(7, false, &changes));
    // The watch has called again, which shows that the change was applied.
    assert!(discovery
        .next_call_path()
        .starts_with("/api/targets?since=7&"));
    for i in 0..10 {
        assert_eq!(response_body(&format!("n{i}")), "new");
    }
    for bad in [
        "{\"version\":8,\"full\":true,\"servers\":[{\"id\":\"s-0\"}]}".to_string(),
        listing(9, true, &[(0, old.addr, "odd")]),
        listing(4, true, &[(0, old.addr, "active")]),
        "not even".to_string(),
    ] {
        discovery.respond(&bad);
        assert!(
            discovery
                .next_call_path()
                .starts_with("/api/targets?since=7&"),
            "called again after {bad}"
        );
        assert_eq!(response_body("r"), "new");
    }
    discovery.respond_unavailable();
    assert!(discovery
        .next_call_path()
        .starts_with("/api/targets?since=7&"));
    assert_eq!(response_body("r"), "new");
    discovery.respond(&listing(9, true, &[(0, old.addr, "active")]));
    assert!(discovery
        .next_call_path()
        .starts_with("/api/targets?since=9&"));
    assert_eq!(
        response_body("r"),
        "old",
        "an upstream omitted from a full list is removed"
    );
}

#[test]
fn watch_survives_connections_closed_by_discovery() {
    let node = Node::start(1024, "null");
    node.discovery.next_call_path();
    let upstream = Upstream::start(|_| ok("x"));
    node.discovery.respond_with_headers(
        "Connection: close\r\n",
        &listing(1, true, &[(0, upstream.addr, "active")]),
    );
    for version in 1..5 {
        assert!(node
            .discovery
            .next_call_path()
            .contains(&format!("since={version}&")));
        node.discovery
            .respond_with_headers("Connection: close\r\n", &listing(version + 1, false, &[]));
    }
    assert!(node.discovery.next_call_path().contains("since=5&"));
    assert_eq!(
        node.log(),
        Vec::<String>::new(),
        "no call counted as failed"
    );
}

#[test]
fn timed_out_watch_reopens_within_seconds() {
    let (old, new) = (
        Upstream::start(|_| ok("old")),
        Upstream::start(|_| ok("new")),
    );
    let node = Node::start(1024, &listing(5, true, &[(0, old.addr, "active")]));
    assert!(node.discovery.next_call_path().contains("since=5&"));
    node.wait_for_log("discovery: no response in time");
    // The call has been abandoned, so this response is not read.
    node.discovery
        .respond(&listing(6, true, &[(1, new.addr, "active")]));
    assert!(node.discovery.next_call_path().contains("since=5&"));
    node.discovery
        .respond(&listing(6, true, &[(1, new.addr, "active")]));
    assert!(node.discovery.next_call_path().contains("since=6&"));
    assert_eq!(node.client().call(&get("r1", "5000m")).body, b"new");
}

#[test]
fn reload_moves_watch_and_bad_reload_changes_nothing() {
    let (old, new) = (
        Upstream::start(|_| ok("old")),
        Upstream::start(|_| ok("new")),
    );
    let mut node = Node::start(1024, &listing(5, true, &[(0, old.addr, "active")]));
    let mut client = node.client();
    // A connection without a first request is closed after 2.5 s, and a busy machine may take that long for the steps
    // below.
    assert_eq!(client.call(&get("r0", "5000m")).body, b"old");
    assert!(node.discovery.next_call_path().contains("since=5&"));
    node.reload("{\"name\":");
    node.wait_for_log("not reloaded");
    assert_eq!(client.call(&get("r1", "5000m")).body, b"old");
    let new_discovery = Discovery::start();
    node.reload(&config(new_discovery.addr, 1024, "null"));
    // The pending call to the old address is abandoned; the next call continues from the known version.
    assert!(new_discovery.next_call_path().contains("since=5&"));
    let old_discovery = std::mem::replace(&mut node.discovery, new_discovery);
    node.discovery
        .respond(&listing(6, true, &[(1, new.addr, "active")]));
    assert!(node.discovery.next_call_path().contains("since=6&"));
    assert_eq!(client.call(&get("r2", "5000m")).body, b"new");
    assert!(
        old_discovery.calls.try_recv().is_err(),
        "the old address is called again"
    );
    assert!(
        !node.log().iter().any(|l| l.starts_with("discovery:")),
        "an address change is not a failed call"
    );
}
