//! Closes after a last answer: a client that sends on gets the whole answer and an orderly end, and what it sent on
//! goes nowhere.
mod common;
#[path = "common/raw_client.rs"]
mod raw_client;
#[path = "common/shutdown.rs"]
mod shutdown;
use common::*;
use raw_client::{wait_for_system, RawClient, SystemSocket};
use shutdown::{answers_ok_alone, served_client, shuts_down_soon};
use std::time::Duration;

/// More than is read ahead of an answer, and less than is thrown away after the last.
const FORWARDED: usize = 40 << 10;
const ANSWER: usize = 60 << 10;

/// A request that wants the connection closed after its answer.
fn last(id: &str) -> String {
    get(id, "20000m").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")
}

fn requests_for(length: usize) -> String {
    let request = get("beyond", "20000m");
    request.repeat(length.div_ceil(request.len()))
}

#[test]
fn a_client_that_sends_on_after_its_last_request_gets_its_answer_and_an_orderly_end() {
    let body = "x".repeat(ANSWER);
    let upstream = Upstream::start(move |_| ok(&body));
    let node = Node::with(&[upstream.addr]);
    let mut client = RawClient::connect_narrow(node.addr, TEST_TIMEOUT);
    client.send((last("last") + &requests_for(FORWARDED)).as_bytes());
    // A part of the answer has come, or the connection is gone; the rest is with the balancer's system, which throws it away at a reset.
    let has_come = |sockets: &[SystemSocket]| {
        !sockets
            .iter()
            .any(|s| client.is_own_end(s) && s.unread == 0)
    };
    wait_for_system(TEST_TIMEOUT, has_come, "no answer comes");
    let (bytes, in_order) = client.rest();
    assert!(in_order, "reset after {} bytes", bytes.len());
    let answer = String::from_utf8(bytes).expect("an answer in plain text");
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with(&"x".repeat(ANSWER)));
    assert_eq!(answer.matches("HTTP/1.1").count(), 1);
    assert_eq!(upstream.request().header("req-id"), Some("last"));
    assert_eq!(upstream.additional_requests(), 0);
}

#[test]
fn a_client_that_sends_garbage_gets_its_error_and_an_orderly_end() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = Node::with(&[upstream.addr]);
    let mut client = RawClient::connect(node.addr, TEST_TIMEOUT);
    client.send(&vec![0xff; FORWARDED]);
    let (bytes, in_order) = client.rest();
    assert!(in_order, "reset after {} bytes", bytes.len());
    assert!(
        bytes.starts_with(b"HTTP/1.1 400"),
        "{:?}",
        String::from_utf8_lossy(&bytes)
    );
}

/// A connection lingers no longer than the program, and its client, which never closes, is not counted as unanswered.
#[test]
fn clients_that_stay_after_their_last_answer_do_not_hold_up_the_end() {
    let upstream = answers_ok_alone();
    let mut node = shuts_down_soon(&upstream);
    let mut clients: Vec<Client> = (0..10).map(|_| served_client(&node)).collect();
    for client in &mut clients {
        client.send(&get("hangs", "80000m"));
    }
    (0..clients.len()).for_each(|_| while upstream.request().header("req-id") != Some("hangs") {});
    let signalled_at = std::time::Instant::now();
    node.terminate();
    for client in &mut clients {
        let status = client.answer().expect("an answer").status();
        assert!([502, 503].contains(&status), "{status}");
    }
    assert_eq!(node.wait().code(), Some(0));
    assert!(
        signalled_at.elapsed() < Duration::from_millis(3700),
        "ended after {:?}",
        signalled_at.elapsed()
    );
    assert!(
        !node
            .log()
            .iter()
            .any(|line| line.contains("at the shutdown deadline")),
        "{:?}",
        node.log()
    );
}
