//! Discovery that misbehaves, seen from real sockets: what it has to tell comes into use all the same. How long that
//! may take is tested on injected time in `discovery_watch.rs`.
mod common;
use common::agent::{Agent, Manner};
use common::*;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const MODES: [&str; 2] = ["pushed", "on_request"];

/// A balancer that knows version 1 with this upstream alone.
fn knowing(agent: &Agent, mode: &str, old: &Upstream) -> Node {
    let known = listing(1, true, &[(0, old.addr, "active")]);
    let config = config(agent.addr, 1024, &known).replace("on_request", mode);
    Node::run(command(&config), Discovery::start())
}

/// Waits until requests go to the upstream that answers so.
fn served_by(node: &Node, body: &[u8]) {
    let (mut client, started) = (node.client(), Instant::now());
    while client.call(&get("r", "5000m")).body != body {
        assert!(started.elapsed() < TEST_TIMEOUT, "the list is not in use");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// News that version 2 brings, after calls that meet something else first.
fn change_comes_into_use(
    first: impl Fn(usize, String) -> Option<Manner> + Clone + Send + Sync + 'static,
) {
    for mode in MODES {
        let (old, new) = (
            Upstream::start(|_| ok("old")),
            Upstream::start(|_| ok("new")),
        );
        let (list, first) = (listing(2, true, &[(1, new.addr, "active")]), first.clone());
        let agent = Agent::start(move |number, path| match path.contains("since=2&") {
            true => Manner::Unresponsive,
            false => first(number, list.clone()).unwrap_or(Manner::Answers(list.clone())),
        });
        let node = knowing(&agent, mode, &old);
        served_by(&node, b"new");
    }
}

#[test]
fn an_incomplete_response_is_requested_again() {
    change_comes_into_use(|number, list| (number < 2).then_some(Manner::Half(list)));
}

#[test]
fn a_watch_that_ends_without_a_response_is_opened_anew() {
    change_comes_into_use(|number, _| (number < 2).then_some(Manner::Ends));
}

#[test]
fn an_answer_that_trickles_for_ever_holds_nothing_up() {
    change_comes_into_use(|number, _| (number < 3).then_some(Manner::Trickles));
}

/// Each answer takes 3 s, head and body in small pieces.
#[test]
fn a_list_that_takes_long_but_keeps_coming_is_taken() {
    change_comes_into_use(|_, list| Some(Manner::Pieces(list, 30, Duration::from_millis(100))));
}

#[test]
fn a_discovery_that_cannot_be_connected_to_is_reached_once_it_can() {
    let (old, new) = (
        Upstream::start(|_| ok("old")),
        Upstream::start(|_| ok("new")),
    );
    let unresponsive = Unreachable::start();
    let known = listing(1, true, &[(0, old.addr, "active")]);
    let node = Node::run(
        command(&config(unresponsive.addr, 1024, &known)),
        Discovery::start(),
    );
    node.logs_times("discovery: no response in time", 3);
    let mut call = unresponsive.reach();
    assert!(read(&mut call).expect("a call").start.contains("since=1&"));
    let list = listing(2, true, &[(1, new.addr, "active")]);
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
        list.len()
    );
    call.get_mut().write_all(answer.as_bytes()).expect("writes");
    served_by(&node, b"new");
}

#[test]
fn a_reload_ends_the_pause_after_a_failed_call() {
    let (old, new) = (
        Upstream::start(|_| ok("old")),
        Upstream::start(|_| ok("new")),
    );
    let known = listing(1, true, &[(0, old.addr, "active")]);
    let node = Node::run(
        command(&config(refusing(), 1024, &known)),
        Discovery::start(),
    );
    // The module waits ever longer now.
    node.logs_times("discovery: ", 4);
    let list = listing(2, true, &[(1, new.addr, "active")]);
    let moved = Agent::start(move |_, path| match path.contains("since=2&") {
        true => Manner::Unresponsive,
        false => Manner::Answers(list.clone()),
    });
    node.reload(&config(moved.addr, 1024, "null"));
    moved.called_with("since=1&");
    moved.called_with("since=2&");
    served_by(&node, b"new");
}

/// What a whole list does not name is gone, though it would still answer.
#[test]
fn what_a_full_list_does_not_name_gets_nothing_more_and_its_idle_connections_close() {
    let (old, new) = (
        Upstream::start(|_| ok("old")),
        Upstream::start(|_| ok("new")),
    );
    let node = Node::with(&[old.addr]);
    let mut client = node.client();
    assert_eq!(client.call(&get("r1", "5000m")).body, b"old");
    old.request();
    node.discovery
        .answer(&listing(2, true, &[(1, new.addr, "active")]));
    old.closed();
    for n in 0..20 {
        assert_eq!(client.call(&get(&format!("n{n}"), "5000m")).body, b"new");
    }
    assert_eq!(old.additional_requests(), 0);
}

#[test]
fn nothing_is_written_to_an_upstream_that_a_full_list_omits_while_it_is_dialled() {
    let (full, new) = (Unreachable::start(), Upstream::start(|_| ok("new")));
    let discovery = Discovery::start();
    let known = listing(1, true, &[(0, full.addr, "active")]);
    let config = config(discovery.addr, 1024, &known)
        .replace("\"idle_close\"", "\"dial_timeout\":20000,\"idle_close\"")
        .replace("\"drain_grace\":1000", "\"drain_grace\":20000");
    let node = Node::run(command(&config), discovery);
    node.discovery.called();
    let without = node.descriptors();
    let mut client = node.client();
    client.send(&pay("r1", "20000m"));
    node.holds(|n| n >= without + 2, "it does not dial");
    node.discovery
        .answer(&listing(2, true, &[(1, new.addr, "active")]));
    assert!(node.discovery.called().contains("since=2&"));
    assert!(read(&mut full.reach()).is_none());
}

/// A name at another address is another process: a connection to the former one is not used again.
#[test]
fn a_connection_to_a_former_address_is_not_used_again() {
    let (go, hold) = channel();
    let hold = Arc::new(Mutex::new(Some(hold)));
    let old = Upstream::start(move |_| match hold.lock().expect("no panic").take() {
        Some(hold) => Then::Hold(
            hold,
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold".into(),
        ),
        None => ok("old"),
    });
    let new = Upstream::start(|_| ok("new"));
    let node = Node::with(&[old.addr]);
    let mut client = node.client();
    client.send(&get("r1", "10000m"));
    old.request();
    node.discovery
        .answer(&listing(2, false, &[(0, new.addr, "active")]));
    assert!(node.discovery.called().starts_with("/api/targets?since=1&"));
    assert!(node.discovery.called().contains("since=2&"));
    go.send(()).expect("it waits");
    // What was sent on before still gets its answer.
    assert_eq!(client.answer().expect("an answer").body, b"old");
    assert_eq!(client.call(&get("r2", "10000m")).body, b"new");
    assert_eq!(old.additional_requests(), 0);
}

#[test]
fn nothing_is_written_to_a_former_address_that_is_dialled() {
    let (full, new) = (Unreachable::start(), Upstream::start(|_| ok("new")));
    let discovery = Discovery::start();
    let config = config(
        discovery.addr,
        1024,
        &listing(1, true, &[(0, full.addr, "active")]),
    )
    .replace("\"idle_close\"", "\"dial_timeout\":20000,\"idle_close\"");
    let node = Node::run(command(&config), discovery);
    node.discovery.called();
    let without = node.descriptors();
    let mut client = node.client();
    client.send(&pay("r1", "20000m"));
    node.holds(|n| n >= without + 2, "it does not dial");
    node.discovery
        .answer(&listing(2, false, &[(0, new.addr, "active")]));
    assert!(node.discovery.called().contains("since=2&"));
    assert!(read(&mut full.reach()).is_none());
    assert!(client.answer().is_some());
}

/// Idle clients fill all descriptors that there are, while discovery is down; the watch still reaches it.
#[test]
fn clients_that_fill_the_descriptors_leave_one_to_discovery() {
    discovery_is_reached_under(64, 64);
}

/// The configuration promises more than the system gives.
#[test]
fn clients_that_take_more_descriptors_than_there_are_leave_one_to_discovery() {
    discovery_is_reached_under(1024, 40);
}

fn discovery_is_reached_under(promised: usize, given: usize) {
    let (old, new) = (
        Upstream::start(|_| ok("old")),
        Upstream::start(|_| ok("new")),
    );
    let (list, down) = (
        listing(2, true, &[(1, new.addr, "active")]),
        Arc::new(Mutex::new(true)),
    );
    let is_down = down.clone();
    let agent = Agent::start(move |_, path| match *is_down.lock().expect("no panic") {
        true => Manner::Ends,
        false if path.contains("since=2&") => Manner::Unresponsive,
        false => Manner::Answers(list.clone()),
    });
    let known = listing(1, true, &[(0, old.addr, "active")]);
    let limited = limited_command(&config(agent.addr, promised, &known), given);
    let node = Node::run(limited, Discovery::start());
    let idle: Vec<Client> = (0..100).map(|_| node.client()).collect();
    node.holds(|n| n > 32, "the clients are not taken");
    node.logs_times("discovery: ", 3);
    *down.lock().expect("no panic") = false;
    agent.called_with("since=2&");
    drop(idle);
    served_by(&node, b"new");
}
