//! Connections closed after a final response: a client that keeps sending gets the whole response and an orderly
//! close, and its extra input is not forwarded.
mod common;
#[path = "common/raw_client.rs"]
mod raw_client;
#[path = "common/shutdown.rs"]
mod shutdown;
use common::*;
use raw_client::{wait_for_sockets, KernelSocket, RawClient};
use shutdown::{node_closing_soon, served_client, upstream_answering_ok_only};
use std::time::Duration;

/// More than is read ahead of a response, and less than is discarded after the final one.
const EXTRA_INPUT_BYTES: usize = 40 << 10;
const RESPONSE_BYTES: usize = 60 << 10;

/// A request with `Connection: close`.
fn final_request(id: &str) -> String {
    get(id, "20000m").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")
}

fn requests_of_length(length: usize) -> String {
    let request = get("beyond", "20000m");
    request.repeat(length.div_ceil(request.len()))
}

#[test]
fn client_sending_past_final_request_gets_full_response() {
    let body = "x".repeat(RESPONSE_BYTES);
    let upstream = Upstream::start(move |_| ok(&body));
    let node = Node::with_upstreams(&[upstream.addr]);
    let mut client = RawClient::connect_with_small_buffer(node.addr, TEST_TIMEOUT);
    client.send((final_request("last") + &requests_of_length(EXTRA_INPUT_BYTES)).as_bytes());
    // Part of the response has arrived, or the connection is closed; the rest is in the send buffer of the balancer,
    // which a reset would discard.
    let response_arrived = |sockets: &[KernelSocket]| {
        !sockets
            .iter()
            .any(|s| client.is_own_end(s) && s.unread == 0)
    };
    wait_for_sockets(TEST_TIMEOUT, response_arrived, "no response arrived");
    let (bytes, closed_cleanly) = client.read_to_end();
    assert!(closed_cleanly, "reset after {} bytes", bytes.len());
    let response = String::from_utf8(bytes).expect("a response in UTF-8");
    assert!(
        response.starts_with("HTTP/1.1 200") && response.ends_with(&"x".repeat(RESPONSE_BYTES))
    );
    assert_eq!(response.matches("HTTP/1.1").count(), 1);
    assert_eq!(upstream.request().header("req-id"), Some("last"));
    assert_eq!(upstream.additional_requests(), 0);
}

#[test]
fn client_sending_garbage_gets_error_and_clean_close() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = Node::with_upstreams(&[upstream.addr]);
    let mut client = RawClient::connect(node.addr, TEST_TIMEOUT);
    client.send(&vec![0xff; EXTRA_INPUT_BYTES]);
    let (bytes, closed_cleanly) = client.read_to_end();
    assert!(closed_cleanly, "reset after {} bytes", bytes.len());
    assert!(
        bytes.starts_with(b"HTTP/1.1 400"),
        "{:?}",
        String::from_utf8_lossy(&bytes)
    );
}

/// A connection lingers no longer than the process runs, and a client that never closes does not count as unanswered.
#[test]
fn lingering_clients_do_not_delay_shutdown() {
    let upstream = upstream_answering_ok_only();
    let mut node = node_closing_soon(&upstream);
    let mut clients: Vec<Client> = (0..10).map(|_| served_client(&node)).collect();
    for client in &mut clients {
        client.send(&get("hangs", "80000m"));
    }
    (0..clients.len()).for_each(|_| while upstream.request().header("req-id") != Some("hangs") {});
    let signalled_at = std::time::Instant::now();
    node.terminate();
    for client in &mut clients {
        let status = client.read_response().expect("a response").status();
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
