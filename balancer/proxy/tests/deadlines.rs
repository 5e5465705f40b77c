//! What an attempt tells its upstream of the time that is left, on real sockets: never more than the client has.
mod common;
use common::raw::RawUpstream;
use common::{
    command, config, get, listing, pay, read, Client, Discovery, Message, Node, Unreachable,
};
use std::time::{Duration, Instant};

/// What clients wait for here.
const REQUEST_TIMEOUT_MS: u64 = 20_000;
/// What the users grant beyond what the client has left.
const SLACK: Duration = Duration::from_millis(150);

/// The time left that a request tells.
fn stated_deadline(request: &Message) -> Duration {
    let text = request
        .header("req-deadline")
        .and_then(|d| d.strip_suffix('u'))
        .expect("microseconds");
    Duration::from_micros(text.parse().expect("a number"))
}

/// Checks that a request tells no more than a client that sent it at `sent` has, the request having been held back
/// until `received_at` at least.
fn at_most_what_is_left(request: &Message, sent: Instant, received_at: Instant) {
    let left = Duration::from_millis(REQUEST_TIMEOUT_MS).saturating_sub(received_at - sent);
    let stated_deadline = stated_deadline(request);
    assert!(
        stated_deadline <= left + SLACK,
        "tells {stated_deadline:?}, and {left:?} is left"
    );
}

fn client_timeout() -> String {
    format!("{REQUEST_TIMEOUT_MS}m")
}

/// A balancer that has a request and dials an upstream that does not accept; and when the request was sent.
fn dialling() -> (Unreachable, Node, Client, Instant) {
    let unreachable = Unreachable::start();
    let discovery = Discovery::start();
    let config = config(
        discovery.addr,
        1024,
        &listing(1, true, &[(0, unreachable.addr, "active")]),
    )
    .replace("\"idle_close\"", "\"dial_timeout\":20000,\"idle_close\"");
    let node = Node::run(command(&config), discovery);
    node.discovery.called();
    let without = node.descriptors();
    let mut client = node.client();
    let sent = Instant::now();
    client.send(&pay("r1", &client_timeout()));
    node.holds(|n| n >= without + 2, "it does not dial");
    (unreachable, node, client, sent)
}

#[test]
fn a_dial_that_comes_up_late_is_taken_off() {
    let (unreachable, _node, _client, sent) = dialling();
    std::thread::sleep(Duration::from_millis(500));
    let received_at = Instant::now();
    let request = read(&mut unreachable.reach()).expect("a request");
    at_most_what_is_left(&request, sent, received_at);
}

#[test]
fn the_attempt_before_is_taken_off() {
    let upstreams = [RawUpstream::start(), RawUpstream::start()];
    let node = Node::with(&[upstreams[0].addr, upstreams[1].addr]);
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
    at_most_what_is_left(&request, sent, received_at);
}

#[test]
fn a_stop_while_it_dials_is_taken_off() {
    let (unreachable, node, _client, sent) = dialling();
    node.pause();
    let mut upstream = unreachable.reach();
    std::thread::sleep(Duration::from_millis(500));
    let received_at = Instant::now();
    node.resume();
    at_most_what_is_left(&read(&mut upstream).expect("a request"), sent, received_at);
}

#[test]
fn a_stop_before_the_request_is_read_is_taken_off() {
    let upstream = RawUpstream::start();
    let node = Node::with(&[upstream.addr]);
    let mut client = node.client();
    client.send(&pay("warm", &client_timeout()));
    let mut connection = upstream.accept();
    connection.request().expect("a request");
    connection.answer("x");
    client.answer().expect("an answer");
    node.pause();
    let sent = Instant::now();
    client.send(&pay("r1", &client_timeout()));
    std::thread::sleep(Duration::from_millis(1000));
    let received_at = Instant::now();
    node.resume();
    at_most_what_is_left(&connection.request().expect("a request"), sent, received_at);
}

#[test]
fn a_stop_before_the_connection_is_accepted_is_taken_off() {
    let upstream = RawUpstream::start();
    let node = Node::with(&[upstream.addr]);
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
    at_most_what_is_left(
        &upstream.accept().request().expect("a request"),
        sent,
        received_at,
    );
}
