//! Discovery that misbehaves, on real sockets: its changes are applied all the same. How long that may take is tested
//! on simulated time in `discovery_watch/`.
mod common;
use common::scripted_discovery::{Behavior, ScriptedDiscovery};
use common::*;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const MODES: [&str; 2] = ["pushed", "on_request"];

/// A balancer that knows list version 1, with this upstream alone.
fn start_node(discovery: &ScriptedDiscovery, mode: &str, old: &Upstream) -> Node {
    let known = listing(1, true, &[(0, old.addr, "active")]);
    let config = config(discovery.addr, 1024, &known).replace("on_request", mode);
    Node::run(command(&config), Discovery::start())
}

/// Waits until requests are answered with this body.
fn wait_until_served_by(node: &Node, body: &[u8]) {
    let (mut client, started) = (node.client(), Instant::now());
    while client.call(&get("r", "5000m")).body != body {
        assert!(started.elapsed() < TEST_TIMEOUT, "the list is not applied");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Checks that version 2 is applied after the first calls were handled as `initial_behavior` says.
fn assert_change_is_applied(
    initial_behavior: impl Fn(usize, String) -> Option<Behavior> + Clone + Send + Sync + 'static,
) {
    for mode in MODES {
        let (old, new) = (
            Upstream::start(|_| ok("old")),
            Upstream::start(|_| ok("new")),
        );
        let (list, initial_behavior) = (
            listing(2, true, &[(1, new.addr, "active")]),
            initial_behavior.clone(),
        );
        let discovery =
            ScriptedDiscovery::start(move |number, path| match path.contains("since=2&") {
                true => Behavior::Unresponsive,
                false => initial_behavior(number, list.clone())
                    .unwrap_or(Behavior::Responds(list.clone())),
            });
        let node = start_node(&discovery, mode, &old);
        wait_until_served_by(&node, b"new");
    }
}

#[test]
fn incomplete_response_is_requested_again() {
    assert_change_is_applied(|number, list| {
        (number < 2).then_some(Behavior::PartialResponse(list))
    });
}

#[test]
fn watch_reopens_after_close_without_response() {
    assert_change_is_applied(|number, _| (number < 2).then_some(Behavior::Closes));
}

#[test]
fn trickling_response_does_not_block_updates() {
    assert_change_is_applied(|number, _| (number < 3).then_some(Behavior::Trickles));
}

/// Each response takes 3 s, head and body in small pieces.
#[test]
fn slow_but_progressing_list_is_accepted() {
    assert_change_is_applied(|_, list| {
        Some(Behavior::RespondsInPieces(
            list,
            30,
            Duration::from_millis(100),
        ))
    });
}

#[test]
fn unreachable_discovery_is_called_once_it_accepts() {
    let (old, new) = (
        Upstream::start(|_| ok("old")),
        Upstream::start(|_| ok("new")),
    );
    let unreachable = Unreachable::start();
    let known = listing(1, true, &[(0, old.addr, "active")]);
    let node = Node::run(
        command(&config(unreachable.addr, 1024, &known)),
        Discovery::start(),
    );
    node.wait_for_log_times("discovery: no response in time", 3);
    let mut call = unreachable.start_accepting();
    assert!(read(&mut call)
        .expect("a call to discovery")
        .start_line
        .contains("since=1&"));
    let list = listing(2, true, &[(1, new.addr, "active")]);
    let response = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
        list.len()
    );
    call.get_mut()
        .write_all(response.as_bytes())
        .expect("write");
    wait_until_served_by(&node, b"new");
}

#[test]
fn reload_ends_the_backoff_after_failed_calls() {
    let (old, new) = (
        Upstream::start(|_| ok("old")),
        Upstream::start(|_| ok("new")),
    );
    let known = listing(1, true, &[(0, old.addr, "active")]);
    let node = Node::run(
        command(&config(refusing(), 1024, &known)),
        Discovery::start(),
    );
    // The pause between calls grows with each failure.
    node.wait_for_log_times("discovery: ", 4);
    let list = listing(2, true, &[(1, new.addr, "active")]);
    let new_discovery = ScriptedDiscovery::start(move |_, path| match path.contains("since=2&") {
        true => Behavior::Unresponsive,
        false => Behavior::Responds(list.clone()),
    });
    node.reload(&config(new_discovery.addr, 1024, "null"));
    new_discovery.wait_for_call_containing("since=1&");
    new_discovery.wait_for_call_containing("since=2&");
    wait_until_served_by(&node, b"new");
}

/// An upstream that a full list omits is removed, even if it would still respond.
#[test]
fn upstream_omitted_from_full_list_is_disconnected() {
    let (old, new) = (
        Upstream::start(|_| ok("old")),
        Upstream::start(|_| ok("new")),
    );
    let node = Node::with_upstreams(&[old.addr]);
    let mut client = node.client();
    assert_eq!(client.call(&get("r1", "5000m")).body, b"old");
    old.request();
    node.discovery
        .respond(&listing(2, true, &[(1, new.addr, "active")]));
    old.wait_until_closed();
    for n in 0..20 {
        assert_eq!(client.call(&get(&format!("n{n}"), "5000m")).body, b"new");
    }
    assert_eq!(old.additional_requests(), 0);
}

#[test]
fn nothing_is_written_to_omitted_upstream_while_dialling() {
    let (unreachable, new) = (Unreachable::start(), Upstream::start(|_| ok("new")));
    let discovery = Discovery::start();
    let known = listing(1, true, &[(0, unreachable.addr, "active")]);
    let config = config(discovery.addr, 1024, &known)
        .replace("\"idle_close\"", "\"dial_timeout\":20000,\"idle_close\"")
        .replace("\"drain_grace\":1000", "\"drain_grace\":20000");
    let node = Node::run(command(&config), discovery);
    node.discovery.next_call_path();
    let baseline = node.descriptors();
    let mut client = node.client();
    client.send(&pay("r1", "20000m"));
    node.wait_for_descriptors(|n| n >= baseline + 2, "the balancer does not dial");
    node.discovery
        .respond(&listing(2, true, &[(1, new.addr, "active")]));
    assert!(node.discovery.next_call_path().contains("since=2&"));
    assert!(read(&mut unreachable.start_accepting()).is_none());
}

/// An upstream at a new address is another process: connections to its former address are not reused.
#[test]
fn connection_to_a_former_address_is_not_reused() {
    let (release, response_signal) = channel();
    let response_signal = Arc::new(Mutex::new(Some(response_signal)));
    let old =
        Upstream::start(
            move |_| match response_signal.lock().expect("lock not poisoned").take() {
                Some(response_signal) => UpstreamAction::RespondAfterSignal(
                    response_signal,
                    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold".into(),
                ),
                None => ok("old"),
            },
        );
    let new = Upstream::start(|_| ok("new"));
    let node = Node::with_upstreams(&[old.addr]);
    let mut client = node.client();
    client.send(&get("r1", "10000m"));
    old.request();
    node.discovery
        .respond(&listing(2, false, &[(0, new.addr, "active")]));
    assert!(node
        .discovery
        .next_call_path()
        .starts_with("/api/targets?since=1&"));
    assert!(node.discovery.next_call_path().contains("since=2&"));
    release.send(()).expect("upstream is waiting");
    // A request forwarded before the change still gets its response.
    assert_eq!(client.read_response().expect("a response").body, b"old");
    assert_eq!(client.call(&get("r2", "10000m")).body, b"new");
    assert_eq!(old.additional_requests(), 0);
}

#[test]
fn nothing_is_written_after_dialling_a_former_address() {
    let (unreachable, new) = (Unreachable::start(), Upstream::start(|_| ok("new")));
    let discovery = Discovery::start();
    let config = config(
        discovery.addr,
        1024,
        &listing(1, true, &[(0, unreachable.addr, "active")]),
    )
    .replace("\"idle_close\"", "\"dial_timeout\":20000,\"idle_close\"");
    let node = Node::run(command(&config), discovery);
    node.discovery.next_call_path();
    let baseline = node.descriptors();
    let mut client = node.client();
    client.send(&pay("r1", "20000m"));
    node.wait_for_descriptors(|n| n >= baseline + 2, "the balancer does not dial");
    node.discovery
        .respond(&listing(2, false, &[(0, new.addr, "active")]));
    assert!(node.discovery.next_call_path().contains("since=2&"));
    assert!(read(&mut unreachable.start_accepting()).is_none());
    assert!(client.read_response().is_some());
}

/// Idle clients use up all client descriptors while discovery is down; the watch still reaches it afterwards.
#[test]
fn clients_at_configured_limit_leave_discovery_a_descriptor() {
    assert_discovery_is_reached(64, 64);
}

/// The configuration allows more descriptors than the system limit.
#[test]
fn clients_beyond_system_limit_leave_discovery_a_descriptor() {
    assert_discovery_is_reached(1024, 40);
}

fn assert_discovery_is_reached(configured_limit: usize, system_limit: usize) {
    let (old, new) = (
        Upstream::start(|_| ok("old")),
        Upstream::start(|_| ok("new")),
    );
    let (list, down) = (
        listing(2, true, &[(1, new.addr, "active")]),
        Arc::new(Mutex::new(true)),
    );
    let is_down = down.clone();
    let discovery = ScriptedDiscovery::start(move |_, path| {
        match *is_down.lock().expect("lock not poisoned") {
            true => Behavior::Closes,
            false if path.contains("since=2&") => Behavior::Unresponsive,
            false => Behavior::Responds(list.clone()),
        }
    });
    let known = listing(1, true, &[(0, old.addr, "active")]);
    let limited = limited_command(
        &config(discovery.addr, configured_limit, &known),
        system_limit,
    );
    let node = Node::run(limited, Discovery::start());
    let idle: Vec<Client> = (0..100).map(|_| node.client()).collect();
    node.wait_for_descriptors(|n| n > 32, "the clients are not accepted");
    node.wait_for_log_times("discovery: ", 3);
    *down.lock().expect("lock not poisoned") = false;
    discovery.wait_for_call_containing("since=2&");
    drop(idle);
    wait_until_served_by(&node, b"new");
}
