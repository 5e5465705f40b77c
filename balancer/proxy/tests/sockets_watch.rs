//! The watch of discovery on loopback sockets, and a reload that moves it.
mod common;
use common::*;

#[test]
fn the_watch_follows_versions_and_bad_answers_change_nothing() {
    let (old, new) = (
        Upstream::start(|_| ok("old")),
        Upstream::start(|_| ok("new")),
    );
    let node = Node::start(1024, &listing(5, true, &[(0, old.addr, "active")]));
    let discovery = &node.discovery;
    let mut client = node.client();
    let mut ask = |id: &str| String::from_utf8(client.call(&get(id, "5000m")).body).expect("text");
    assert!(discovery
        .called()
        .starts_with("/api/targets?since=5&timeout_ms="));
    assert_eq!(ask("r1"), "old");
    let changes = [(0, old.addr, "leaving"), (1, new.addr, "active")];
    discovery.answer(&listing(7, false, &changes));
    // The watch is armed again, which shows that the news has been taken in.
    assert!(discovery.called().starts_with("/api/targets?since=7&"));
    for i in 0..10 {
        assert_eq!(ask(&format!("n{i}")), "new");
    }
    for bad in [
        "{\"version\":8,\"full\":true,\"servers\":[{\"id\":\"s-0\"}]}".to_string(),
        listing(9, true, &[(0, old.addr, "odd")]),
        listing(4, true, &[(0, old.addr, "active")]),
        "not even".to_string(),
    ] {
        discovery.answer(&bad);
        assert!(
            discovery.called().starts_with("/api/targets?since=7&"),
            "asked again after {bad}"
        );
        assert_eq!(ask("r"), "new");
    }
    discovery.fail();
    assert!(discovery.called().starts_with("/api/targets?since=7&"));
    assert_eq!(ask("r"), "new");
    discovery.answer(&listing(9, true, &[(0, old.addr, "active")]));
    assert!(discovery.called().starts_with("/api/targets?since=9&"));
    assert_eq!(ask("r"), "old", "a whole list without an upstream ends it");
}

#[test]
fn a_watch_survives_connections_that_discovery_closes() {
    let node = Node::start(1024, "null");
    node.discovery.called();
    let upstream = Upstream::start(|_| ok("x"));
    node.discovery.answer_with(
        "Connection: close\r\n",
        &listing(1, true, &[(0, upstream.addr, "active")]),
    );
    for version in 1..5 {
        assert!(node
            .discovery
            .called()
            .contains(&format!("since={version}&")));
        node.discovery
            .answer_with("Connection: close\r\n", &listing(version + 1, false, &[]));
    }
    assert!(node.discovery.called().contains("since=5&"));
    assert_eq!(
        node.log(),
        Vec::<String>::new(),
        "no call counted as failed"
    );
}

#[test]
fn a_watch_that_times_out_is_opened_anew_within_seconds() {
    let (old, new) = (
        Upstream::start(|_| ok("old")),
        Upstream::start(|_| ok("new")),
    );
    let node = Node::start(1024, &listing(5, true, &[(0, old.addr, "active")]));
    assert!(node.discovery.called().contains("since=5&"));
    node.logs("discovery: no response in time");
    // Too late: nobody hears this one any more.
    node.discovery
        .answer(&listing(6, true, &[(1, new.addr, "active")]));
    assert!(node.discovery.called().contains("since=5&"));
    node.discovery
        .answer(&listing(6, true, &[(1, new.addr, "active")]));
    assert!(node.discovery.called().contains("since=6&"));
    assert_eq!(node.client().call(&get("r1", "5000m")).body, b"new");
}

#[test]
fn a_reload_follows_discovery_to_its_new_address_and_a_bad_one_changes_nothing() {
    let (old, new) = (
        Upstream::start(|_| ok("old")),
        Upstream::start(|_| ok("new")),
    );
    let mut node = Node::start(1024, &listing(5, true, &[(0, old.addr, "active")]));
    let mut client = node.client();
    // A connection without a first request is closed after 2.5 s, which a busy machine takes for what follows.
    assert_eq!(client.call(&get("r0", "5000m")).body, b"old");
    assert!(node.discovery.called().contains("since=5&"));
    node.reload("{\"name\":");
    node.logs("not reloaded");
    assert_eq!(client.call(&get("r1", "5000m")).body, b"old");
    let moved = Discovery::start();
    node.reload(&config(moved.addr, 1024, "null"));
    // The call that waits at the old address is left; the next one goes on from the version that is known.
    assert!(moved.called().contains("since=5&"));
    let before = std::mem::replace(&mut node.discovery, moved);
    node.discovery
        .answer(&listing(6, true, &[(1, new.addr, "active")]));
    assert!(node.discovery.called().contains("since=6&"));
    assert_eq!(client.call(&get("r2", "5000m")).body, b"new");
    assert!(
        before.calls.try_recv().is_err(),
        "the old address is asked no more"
    );
    assert!(
        !node.log().iter().any(|l| l.starts_with("discovery:")),
        "a move is no failed call"
    );
}
