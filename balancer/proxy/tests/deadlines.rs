//! The remaining time that an attempt states to its upstream, on real sockets: never more than the client has left.
mod common;
use common::raw::RawUpstream;
use common::{
    command, config, get, listing, pay, read, Client, Discovery, Message, Node, Unreachable,
};
use std::time::{Duration, Instant};

/// Deadline of the clients.
const REQUEST_TIMEOUT_MS: u64 = 20_000;
/// Tolerance beyond the time that the client has left.
const TOLERANCE: Duration = Duration::from_millis(150);

/// The remaining time that a request states.
fn stated_deadline(request: &Message) -> Duration {
    let text = request
        .header("req-deadline")
        .and_then(|d| d.strip_suffix('u'))
        .expect("microseconds");
    Duration::from_micros(text.parse().expect("a number"))
}

/// Checks that a request states no more time than its client has left: the client sent it at `sent`, and it was held
/// back until `received_at` at least.
fn assert_within_remaining_time(request: &Message, sent: Instant, received_at: Instant) {
    let left = Duration::from_millis(REQUEST_TIMEOUT_MS).saturating_sub(received_at - sent);
    let stated_deadline = stated_deadline(request);
    assert!(
        stated_deadline <= left + TOLERANCE,
        "states {stated_deadline:?} with {left:?} left"
    );
}

fn client_timeout() -> String {
    format!("{REQUEST_TIMEOUT_MS}m")
}

/// A balancer that dials an upstream which does not accept, with a request waiting for it; and when the request was
/// sent.
fn node_with_pending_dial() -> (Unreachable, Node, Client, Instant) {
    let unreachable = Unreachable::start();
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
    let sent = Instant::now();
    client.send(&pay("r1", &client_timeout()));
    node.wait_for_descriptors(|n| n >= baseline + 2, "the balancer does not dial");
    (unreachable, node, client, sent)
}

#[test]
fn slow_dial_is_subtracted_from_the_deadline() {
    let (unreachable, _node, _client, sent) = node_with_pending_dial();
    std::thread::sleep(Duration::from_millis(500));
    let received_at = Instant::now();
    let request = read(&mut unreachable.start_accepting()).expect("a request");
    assert_within_remaining_time(&request, sent, received_at);
}

#[test]
fn earlier_attempt_is_subtracted_from_the_deadline() {
    let upstreams = [RawUpstream::start(), RawUpstream::start()];
    let node = Node::with_upstreams(&[upstreams[0].addr, upstreams[1].addr]);
    let mut client = node.client();
    let sent = Instant::now();
    client.send(&get("r1", &client_timeout()));
    let (mut first, at) = RawUpstream::accept_any(&upstreams);
    first.request().expect("a request");
    std::thread::sleep(Duration::from_millis(500));
    let received_at = Instant::now();
    first.write("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
    let request = upstreams[1 - at]
        .accept()
        .request()
        .expect("a second attempt");
    assert_within_remaining_time(&request, sent, received_at);
}

#[test]
fn pause_while_dialling_is_subtracted_from_the_deadline() {
    let (unreachable, node, _client, sent) = node_with_pending_dial();
    node.pause();
    let mut upstream = unreachable.start_accepting();
    std::thread::sleep(Duration::from_millis(500));
    let received_at = Instant::now();
    node.resume();
    assert_within_remaining_time(&read(&mut upstream).expect("a request"), sent, received_at);
}

#[test]
fn pause_before_request_read_is_subtracted_from_deadline() {
    let upstream = RawUpstream::start();
    let node = Node::with_upstreams(&[upstream.addr]);
    let mut client = node.client();
    client.send(&pay("warm", &client_timeout()));
    let mut connection = upstream.accept();
    connection.request().expect("a request");
    connection.respond("x");
    client.read_response().expect("a response");
    node.pause();
    let sent = Instant::now();
    client.send(&pay("r1", &client_timeout()));
    std::thread::sleep(Duration::from_millis(1000));
    let received_at = Instant::now();
    node.resume();
    assert_within_remaining_time(&connection.request().expect("a request"), sent, received_at);
}

#[test]
fn pause_before_accept_is_subtracted_from_the_deadline() {
    let upstream = RawUpstream::start();
    let node = Node::with_upstreams(&[upstream.addr]);
    assert_eq!(
        node.client()
            .call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            .status(),
        200
    );
    node.pause();
    let mut client = node.client();
    let sent = Instant::now();
    client.send(&pay("r1", &client_timeout()));
    std::thread::sleep(Duration::from_millis(1000));
    let received_at = Instant::now();
    node.resume();
    assert_within_remaining_time(
        &upstream.accept().request().expect("a request"),
        sent,
        received_at,
    );
}
