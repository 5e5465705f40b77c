//! When a restarted balancer is ready: with each kind of list that it may know, and whatever discovery does meanwhile.
//! A ready balancer can serve requests.
mod common;
use common::scripted_discovery::{Behavior, ScriptedDiscovery};
use common::*;
use std::time::{Duration, Instant};

/// A restarted balancer is ready within this time.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_REQUEST: &str = "GET /-/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n";

fn is_ready(node: &Node) -> bool {
    node.client().call(READY_REQUEST).status() == 200
}

/// Waits until the balancer is ready, within the stated time, and checks that it serves requests then.
fn assert_becomes_ready(node: &Node, started: Instant, case: &str) {
    while !is_ready(node) {
        assert!(started.elapsed() < READY_TIMEOUT, "{case}: not ready");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(
        node.client().call(&get("r", "5000m")).body,
        b"x",
        "{case}: ready, but does not serve"
    );
}

fn start_node(discovery: &ScriptedDiscovery, mode: &str, known: &str) -> Node {
    let config = config(discovery.addr, 1024, known).replace("on_request", mode);
    Node::run(command(&config), Discovery::start())
}

/// Runs one balancer for each mode and each list that it may know. Discovery handles each call as `behavior` says
/// until it responds; a balancer that knows a usable upstream is ready at once.
fn assert_ready_with_each_known_list(behavior: fn(usize, String) -> Behavior) {
    let upstream = Upstream::start(|_| ok("x"));
    let old = listing(1, true, &[(0, upstream.addr, "active")]);
    let draining = listing(1, true, &[(7, refusing(), "leaving")]);
    let empty = listing(1, true, &[]);
    let list = listing(2, true, &[(0, upstream.addr, "active")]);
    let cases = ["pushed", "on_request"].into_iter().flat_map(|mode| {
        [
            ("absent", "null"),
            ("old", &*old),
            ("empty", &*empty),
            ("leaving", &*draining),
        ]
        .map(|(name, known)| (mode, name, known.to_string()))
    });
    // In parallel, as they mostly wait for time to pass.
    std::thread::scope(|threads| {
        for (mode, name, known) in cases {
            let list = list.clone();
            threads.spawn(move || {
                let list = list.clone();
                let discovery =
                    ScriptedDiscovery::start(move |number, path| match path.contains("since=2&") {
                        true => Behavior::Unresponsive,
                        false => behavior(number, list.clone()),
                    });
                let started = Instant::now();
                let node = start_node(&discovery, mode, &known);
                assert_becomes_ready(&node, started, &format!("{mode}, known {name}"));
            });
        }
    });
}

#[test]
fn ready_soon_after_discovery_responds_again() {
    assert_ready_with_each_known_list(|number, list| match number {
        0..3 => Behavior::Unresponsive,
        _ => Behavior::Responds(list),
    });
}

#[test]
fn ready_soon_after_discovery_stops_closing_calls() {
    assert_ready_with_each_known_list(|number, list| match number {
        0..3 => Behavior::Closes,
        _ => Behavior::Responds(list),
    });
}

#[test]
fn ready_though_discovery_responds_in_pieces() {
    assert_ready_with_each_known_list(|_, list| {
        Behavior::RespondsInPieces(list, 30, Duration::from_millis(100))
    });
}

#[test]
fn ready_without_a_list_though_discovery_is_slow() {
    let upstream = Upstream::start(|_| ok("x"));
    for known in ["null".to_string(), listing(1, true, &[])] {
        let list = listing(2, true, &[(0, upstream.addr, "active")]);
        let discovery = ScriptedDiscovery::start(move |_, path| match path.contains("since=2&") {
            true => Behavior::Unresponsive,
            false => Behavior::RespondsAfter(Duration::from_secs(4), list.clone()),
        });
        let started = Instant::now();
        assert_becomes_ready(&start_node(&discovery, "pushed", &known), started, &known);
    }
}

#[test]
fn ready_with_a_known_list_while_discovery_fails() {
    let upstream = Upstream::start(|_| ok("x"));
    let discovery = ScriptedDiscovery::start(|_, _| Behavior::Unresponsive);
    let node = start_node(
        &discovery,
        "pushed",
        &listing(1, true, &[(0, upstream.addr, "active")]),
    );
    assert_becomes_ready(&node, Instant::now(), "known");
}

/// Without a usable upstream the balancer is not ready, whatever else the list contains.
#[test]
fn not_ready_without_a_usable_upstream() {
    let discovery = ScriptedDiscovery::start(|_, _| Behavior::Unresponsive);
    let draining = listing(
        1,
        true,
        &[(0, refusing(), "leaving"), (1, refusing(), "leaving")],
    );
    for known in ["null".to_string(), listing(1, true, &[]), draining] {
        let node = start_node(&discovery, "pushed", &known);
        discovery.next_call_path();
        assert!(!is_ready(&node), "{known}");
    }
}
