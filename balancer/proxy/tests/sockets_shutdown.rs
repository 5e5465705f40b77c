//! Shutdown on loopback sockets: what is still answered, and what does not delay the exit.
mod common;
use common::*;
use std::sync::mpsc::channel;

#[test]
fn open_and_new_requests_are_answered_after_sigterm() {
    let (release, response_signal) = channel();
    let response_signal = std::sync::Mutex::new(Some(response_signal));
    let upstream =
        Upstream::start(
            move |_| match response_signal.lock().expect("lock not poisoned").take() {
                Some(response_signal) => UpstreamAction::RespondAfterSignal(
                    response_signal,
                    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nheld".into(),
                ),
                None => ok("x"),
            },
        );
    let mut node = Node::with_upstreams(&[upstream.addr]);
    let (mut early, mut reused) = (node.client(), node.client());
    early.send(&pay("early", "20000m"));
    upstream.request();
    assert_eq!(reused.call(&get("kept", "5000m")).status(), 200);
    let signalled_at = std::time::Instant::now();
    node.terminate();
    node.wait_for_log("shutdown requested");
    // The balancer serves for at least this long after SIGTERM. On a slow machine the test may take longer, which is
    // inconclusive.
    let within_grace = || signalled_at.elapsed() < std::time::Duration::from_millis(2500);
    let assert_served = |response: Option<Message>| match response {
        Some(response) => {
            assert_eq!(response.status(), 200);
            assert!(
                response.header("connection").is_none() || !within_grace(),
                "asked to close the connection"
            );
        }
        None => assert!(!within_grace(), "closed without an answer"),
    };
    // Clients have no other replica to use yet: their connections are served as before, beyond the time in which new
    // ones are accepted.
    while signalled_at.elapsed() < std::time::Duration::from_millis(1000) {
        reused.send(&get("again", "5000m"));
        assert_served(reused.read_response());
        // A low rate, so that no request is rejected.
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    match node.try_client() {
        Some(mut late) => {
            let ready = late.call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
            assert_eq!(ready.status(), 503, "not ready for new clients");
            late.send(&get("late", "5000m"));
            assert_served(late.read_response());
        }
        None => assert!(!within_grace(), "not accepted"),
    }
    release.send(()).expect("upstream is waiting");
    assert_eq!(
        early.read_response().expect("the delayed response").body,
        b"held"
    );
    assert_eq!(node.wait().code(), Some(0));
}

#[test]
fn request_after_sigterm_is_answered_before_exit() {
    let upstream = Upstream::start(|m| {
        if m.header("req-id") == Some("last") {
            UpstreamAction::NeverRespond
        } else {
            ok("x")
        }
    });
    let mut node = Node::with_upstreams(&[upstream.addr]);
    let mut client = node.client();
    assert_eq!(client.call(&get("first", "5000m")).status(), 200);
    node.terminate();
    node.wait_for_log("shutdown requested");
    // The deadline of the request is after the exit of the process, and the upstream does not respond.
    assert_eq!(client.call(&pay("last", "20000m")).status(), 502);
    assert_eq!(node.wait().code(), Some(0));
    assert!(
        !node
            .log()
            .iter()
            .any(|l| l.contains("at the shutdown deadline")),
        "requests were left at exit: {:?}",
        node.log()
    );
}

#[test]
fn request_before_sigterm_is_answered_before_exit() {
    let upstream = Upstream::start(|_| UpstreamAction::NeverRespond);
    let mut node = Node::with_upstreams(&[upstream.addr]);
    let (mut single_shot, mut repeatable) = (node.client(), node.client());
    // The deadlines of the requests are after the exit of the process, and the upstream does not respond.
    single_shot.send(&pay("once", "20000m"));
    upstream.request();
    repeatable.send(&get("again", "20000m"));
    upstream.request();
    node.terminate();
    assert_eq!(
        single_shot
            .read_response()
            .expect("a response, not a close")
            .status(),
        502
    );
    assert_eq!(
        repeatable
            .read_response()
            .expect("a response, not a close")
            .status(),
        503
    );
    assert_eq!(node.wait().code(), Some(0));
    assert_eq!(
        upstream.additional_requests(),
        0,
        "nothing new was sent at the end"
    );
    assert!(
        !node
            .log()
            .iter()
            .any(|l| l.contains("at the shutdown deadline")),
        "requests were left at exit: {:?}",
        node.log()
    );
}

#[test]
fn idle_or_incomplete_clients_do_not_delay_shutdown() {
    let upstream = Upstream::start(|_| ok("x"));
    let mut node = Node::with_upstreams(&[upstream.addr]);
    let _idle = node.client();
    let mut half = node.client();
    half.send("GET /api HTTP/1.1\r\nReq-Id: r1\r\n");
    assert_eq!(node.client().call(&get("r2", "5000m")).status(), 200);
    node.terminate();
    assert_eq!(node.wait().code(), Some(0));
    let log = node.log();
    assert!(
        log.iter().any(|l| l.contains("shutdown requested")),
        "{log:?}"
    );
    assert!(
        !log.iter().any(|l| l.contains("at the shutdown deadline")),
        "requests were left at exit: {log:?}"
    );
}
