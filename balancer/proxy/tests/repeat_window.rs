//! A keyed request may be repeated within its window only, counted to the moment at which the repeat is written.
mod common;
use common::*;
use std::sync::mpsc::channel;
use std::sync::Mutex;

/// A request that upstreams know by its key, with a long deadline.
fn keyed(id: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: order\r\nReq-Owner: club\r\n\
         Idempotency-Key: {id}\r\nReq-Deadline: 60000m\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// The repeat is decided within the window, and its connection does not come up before the window has ended: it is given
/// up then, though neither the dial nor the request has run out of time.
#[test]
fn a_repeat_whose_connection_comes_up_after_the_window_is_not_written() {
    let (go_on, may_break) = channel::<()>();
    let (tell, came) = channel::<()>();
    let ends = Mutex::new((tell, may_break));
    let breaks = Upstream::start(move |_| {
        let ends = ends.lock().expect("no panic");
        let _ = ends.0.send(());
        let _ = ends.1.recv_timeout(TEST_TIMEOUT);
        Then::Hang
    });
    let late = Unreachable::start();
    let discovery = Discovery::start();
    let known = listing(1, true, &[(0, breaks.addr, "active")]);
    let config = config(discovery.addr, 1024, &known)
        .replace("\"idle_close\"", "\"dial_timeout\":60000,\"idle_close\"")
        .replace("\"deadline\":20000", "\"deadline\":60000")
        .replace("\"repeat_window\":20000", "\"repeat_window\":3000");
    let node = Node::run(command(&config), discovery);
    node.discovery.called();
    let mut client = node.client();
    client.send(&keyed("k1"));
    came.recv_timeout(TEST_TIMEOUT)
        .expect("a request at the upstream");
    // Only now is there another upstream, to which the repeat goes.
    node.discovery
        .answer(&listing(2, false, &[(1, late.addr, "active")]));
    assert!(node.discovery.called().contains("since=2&"));
    go_on.send(()).expect("the upstream runs");
    let answer = client.answer().expect("an answer soon after the window");
    assert_eq!(
        answer.status(),
        503,
        "what is known by its key may be tried again"
    );
    assert_eq!(
        breaks.additional_requests(),
        1,
        "no repeat goes to the one that failed either"
    );
}
