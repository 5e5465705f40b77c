//! The end of a balancer on loopback sockets: what it still answers, and what does not hold it up.
mod common;
use common::*;
use std::sync::mpsc::channel;

#[test]
fn after_sigterm_it_answers_what_it_has_and_what_still_comes() {
    let (signal, hold) = channel();
    let hold = std::sync::Mutex::new(Some(hold));
    let upstream = Upstream::start(move |_| match hold.lock().expect("no panic").take() {
        Some(hold) => Then::Hold(
            hold,
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nheld".into(),
        ),
        None => ok("x"),
    });
    let mut node = Node::with(&[upstream.addr]);
    let (mut early, mut reused) = (node.client(), node.client());
    early.send(&pay("early", "20000m"));
    upstream.request();
    assert_eq!(reused.call(&get("kept", "5000m")).status(), 200);
    let signalled_at = std::time::Instant::now();
    node.terminate();
    node.logs("shutdown requested");
    // It promises to go on for as long as this; a slow machine that takes longer over the test proves nothing.
    let promised = || signalled_at.elapsed() < std::time::Duration::from_millis(2500);
    let served = |answer: Option<Message>| match answer {
        Some(answer) => {
            assert_eq!(answer.status(), 200);
            assert!(
                answer.header("connection").is_none() || !promised(),
                "told to leave"
            );
        }
        None => assert!(!promised(), "closed without an answer"),
    };
    // Callers have nobody else to turn to yet: the connections they have are served as ever, past the time in
    // which new ones come.
    while signalled_at.elapsed() < std::time::Duration::from_millis(1000) {
        reused.send(&get("again", "5000m"));
        served(reused.answer());
        // Not so many that they would be refused.
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    match node.try_client() {
        Some(mut late) => {
            let ready = late.call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
            assert_eq!(ready.status(), 503, "no new callers are wanted");
            late.send(&get("late", "5000m"));
            served(late.answer());
        }
        None => assert!(!promised(), "not accepted"),
    }
    signal.send(()).expect("the upstream waits");
    assert_eq!(early.answer().expect("the held answer").body, b"held");
    assert_eq!(node.wait().code(), Some(0));
}

#[test]
fn a_request_that_comes_after_sigterm_is_answered_before_the_end() {
    let upstream = Upstream::start(|m| {
        if m.header("req-id") == Some("last") {
            Then::Wait
        } else {
            ok("x")
        }
    });
    let mut node = Node::with(&[upstream.addr]);
    let mut client = node.client();
    assert_eq!(client.call(&get("first", "5000m")).status(), 200);
    node.terminate();
    node.logs("shutdown requested");
    // Its own deadline lies beyond the end of the program; the upstream says nothing.
    assert_eq!(client.call(&pay("last", "20000m")).status(), 502);
    assert_eq!(node.wait().code(), Some(0));
    assert!(
        !node
            .log()
            .iter()
            .any(|l| l.contains("at the shutdown deadline")),
        "it was held up: {:?}",
        node.log()
    );
}

#[test]
fn a_request_taken_before_sigterm_is_answered_before_the_end() {
    let upstream = Upstream::start(|_| Then::Wait);
    let mut node = Node::with(&[upstream.addr]);
    let (mut once, mut again) = (node.client(), node.client());
    // Their own deadlines lie beyond the end of the program; the upstream says nothing.
    once.send(&pay("once", "20000m"));
    upstream.request();
    again.send(&get("again", "20000m"));
    upstream.request();
    node.terminate();
    assert_eq!(once.answer().expect("an answer, not a close").status(), 502);
    assert_eq!(
        again.answer().expect("an answer, not a close").status(),
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
        "it was held up: {:?}",
        node.log()
    );
}

#[test]
fn callers_that_say_nothing_do_not_hold_up_the_end() {
    let upstream = Upstream::start(|_| ok("x"));
    let mut node = Node::with(&[upstream.addr]);
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
        "it was held up: {log:?}"
    );
}
