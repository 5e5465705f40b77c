//! When a restarted balancer is ready: with each kind of list that it may know, whatever discovery does meanwhile. A
//! balancer that is ready serves somebody.
mod common;
use common::agent::{Agent, Manner};
use common::*;
use std::time::{Duration, Instant};

/// A restarted balancer is ready within this.
const READY: Duration = Duration::from_secs(10);
const READY_CALL: &str = "GET /-/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n";

fn is_ready(node: &Node) -> bool {
    node.client().call(READY_CALL).status() == 200
}

/// Waits until it is ready, within the time that the users state, and checks that it serves then.
fn becomes_ready(node: &Node, started: Instant, case: &str) {
    while !is_ready(node) {
        assert!(started.elapsed() < READY, "{case}: not ready");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(
        node.client().call(&get("r", "5000m")).body,
        b"x",
        "{case}: ready, and serves nobody"
    );
}

fn run(agent: &Agent, mode: &str, known: &str) -> Node {
    let config = config(agent.addr, 1024, known).replace("on_request", mode);
    Node::run(command(&config), Discovery::start())
}

/// One balancer for each mode and each list that may be known, with discovery that does this to each call until it
/// answers; those that know an upstream are ready at once.
fn every_balancer_becomes_ready(manner: fn(usize, String) -> Manner) {
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
    // All at once: what they wait for is time.
    std::thread::scope(|threads| {
        for (mode, name, known) in cases {
            let list = list.clone();
            threads.spawn(move || {
                let list = list.clone();
                let agent = Agent::start(move |number, path| match path.contains("since=2&") {
                    true => Manner::Unresponsive,
                    false => manner(number, list.clone()),
                });
                let started = Instant::now();
                let node = run(&agent, mode, &known);
                becomes_ready(&node, started, &format!("{mode}, known {name}"));
            });
        }
    });
}

#[test]
fn a_balancer_is_ready_soon_after_discovery_responds_again() {
    every_balancer_becomes_ready(|number, list| match number {
        0..3 => Manner::Unresponsive,
        _ => Manner::Answers(list),
    });
}

#[test]
fn a_balancer_is_ready_soon_after_discovery_is_back_from_ending_calls() {
    every_balancer_becomes_ready(|number, list| match number {
        0..3 => Manner::Ends,
        _ => Manner::Answers(list),
    });
}

#[test]
fn a_balancer_is_ready_though_discovery_answers_in_pieces() {
    every_balancer_becomes_ready(|_, list| Manner::Pieces(list, 30, Duration::from_millis(100)));
}

#[test]
fn a_balancer_without_a_list_is_ready_though_discovery_is_slow() {
    let upstream = Upstream::start(|_| ok("x"));
    for known in ["null".to_string(), listing(1, true, &[])] {
        let list = listing(2, true, &[(0, upstream.addr, "active")]);
        let agent = Agent::start(move |_, path| match path.contains("since=2&") {
            true => Manner::Unresponsive,
            false => Manner::Late(Duration::from_secs(4), list.clone()),
        });
        let started = Instant::now();
        becomes_ready(&run(&agent, "pushed", &known), started, &known);
    }
}

#[test]
fn a_balancer_that_knows_a_list_is_ready_while_discovery_is_down() {
    let upstream = Upstream::start(|_| ok("x"));
    let agent = Agent::start(|_, _| Manner::Unresponsive);
    let node = run(
        &agent,
        "pushed",
        &listing(1, true, &[(0, upstream.addr, "active")]),
    );
    becomes_ready(&node, Instant::now(), "known");
}

/// Nobody can serve a request: not ready, whatever the list says beside.
#[test]
fn a_balancer_that_knows_nobody_to_send_to_is_not_ready() {
    let agent = Agent::start(|_, _| Manner::Unresponsive);
    let draining = listing(
        1,
        true,
        &[(0, refusing(), "leaving"), (1, refusing(), "leaving")],
    );
    for known in ["null".to_string(), listing(1, true, &[]), draining] {
        let node = run(&agent, "pushed", &known);
        agent.called();
        assert!(!is_ready(&node), "{known}");
    }
}
