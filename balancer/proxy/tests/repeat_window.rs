//! A request with an idempotency key may be retried only within its repeat window, measured to the moment at which the
//! retry is written.
mod common;
use common::*;
use std::sync::mpsc::channel;
use std::sync::Mutex;

/// A request with an idempotency key and a long deadline.
fn keyed(id: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: order\r\nReq-Owner: club\r\n\
         Idempotency-Key: {id}\r\nReq-Deadline: 60000m\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// The retry is decided within the window, but its connection is established only after the window has ended: the
/// retry is abandoned, although neither the dial nor the request has timed out.
#[test]
fn retry_is_not_written_after_the_repeat_window() {
    let (fail_tx, fail_rx) = channel::<()>();
    let (arrived_tx, arrived_rx) = channel::<()>();
    let channels = Mutex::new((arrived_tx, fail_rx));
    let failing = Upstream::start(move |_| {
        let channels = channels.lock().expect("lock not poisoned");
        let _ = channels.0.send(());
        let _ = channels.1.recv_timeout(TEST_TIMEOUT);
        UpstreamAction::Close
    });
    let unreachable = Unreachable::start();
    let discovery = Discovery::start();
    let known = listing(1, true, &[(0, failing.addr, "active")]);
    let config = config(discovery.addr, 1024, &known)
        .replace("\"idle_close\"", "\"dial_timeout\":60000,\"idle_close\"")
        .replace("\"deadline\":20000", "\"deadline\":60000")
        .replace("\"repeat_window\":20000", "\"repeat_window\":3000");
    let node = Node::run(command(&config), discovery);
    node.discovery.next_call_path();
    let mut client = node.client();
    client.send(&keyed("k1"));
    arrived_rx
        .recv_timeout(TEST_TIMEOUT)
        .expect("a request at the upstream");
    // Another upstream, to which the retry goes, is added only now.
    node.discovery
        .respond(&listing(2, false, &[(1, unreachable.addr, "active")]));
    assert!(node.discovery.next_call_path().contains("since=2&"));
    fail_tx.send(()).expect("upstream is running");
    let response = client
        .read_response()
        .expect("a response soon after the window");
    assert_eq!(
        response.status(),
        503,
        "a keyed request may be retried by the client"
    );
    assert_eq!(
        failing.additional_requests(),
        1,
        "the failed upstream gets no retry either"
    );
}
