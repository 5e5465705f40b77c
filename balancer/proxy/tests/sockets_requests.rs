//! Requests and responses on loopback sockets; each test covers one way in which forwarding could go wrong.
mod common;
use common::*;
use std::sync::atomic::Ordering;

#[test]
fn request_and_response_are_forwarded_unchanged() {
    let upstream = Upstream::start(|_| ok("the answer"));
    let node = Node::with_upstreams(&[upstream.addr]);
    let mut client = node.client();
    assert_eq!(
        client
            .call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            .status(),
        200
    );
    let response = client.call(
        "POST /api/a%20b?q=1&r HTTP/1.1\r\nHost: service.internal\r\nReq-Id: 9b1f\r\nReq-Kind: order\r\n\
         Req-Owner: club\r\nReq-Deadline: 8000m\r\nIdempotency-Key: 5c0f\r\nContent-Length: 5\r\n\r\nhello",
    );
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, &b"the answer"[..])
    );
    let got = upstream.request();
    assert_eq!(got.start_line, "POST /api/a%20b?q=1&r HTTP/1.1");
    assert_eq!(
        (got.header("req-id"), got.header("idempotency-key")),
        (Some("9b1f"), Some("5c0f"))
    );
    assert_eq!(got.body, b"hello");
    let wait = got
        .header("req-deadline")
        .and_then(|d| d.strip_suffix('u'))
        .expect("microseconds");
    assert!(
        (1..=8_000_000).contains(&wait.parse::<u64>().expect("a number")),
        "{wait}"
    );
}

#[test]
fn sequential_requests_share_one_upstream_connection() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = Node::with_upstreams(&[upstream.addr]);
    let mut client = node.client();
    for i in 0..20 {
        assert_eq!(client.call(&get(&format!("r{i}"), "5000m")).status(), 200);
    }
    assert_eq!(upstream.connections.load(Ordering::SeqCst), 1);
}

#[test]
fn invalid_input_is_answered_without_affecting_others() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = Node::with_upstreams(&[upstream.addr]);
    let good = get("r1", "5000m");
    let mut client = node.client();
    for (from, to, status) in [
        ("Req-Kind: read", "Req-Kind: odd", 400),
        ("Req-Owner: club", "Req-Owner: odd", 400),
        ("Req-Owner: club\r\n", "", 400),
        ("Req-Id: r1\r\n", "", 400),
        ("Req-Deadline: 5000m", "Req-Deadline: soon", 400),
        ("Req-Deadline: 5000m\r\n", "", 400),
        (
            "Req-Deadline: 5000m",
            "Req-Deadline: 1m\r\nReq-Deadline: 2m",
            400,
        ),
        ("GET", "DELETE", 400),
        ("/api/x", "/elsewhere", 404),
        ("/api/x", "/apix", 404),
    ] {
        assert_eq!(
            client.call(&good.replace(from, to)).status(),
            status,
            "{to:?} for {from:?}"
        );
    }
    // Retryable requests have no body; one that has a body must not reach an upstream.
    let with_body = good.replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\nbody");
    assert_eq!(node.client().call(&with_body).status(), 400);
    let mut large = node.client();
    let head = pay("r2", "5000m").replace(
        "Content-Length: 4\r\n\r\nbody",
        "Content-Length: 65537\r\n\r\n",
    );
    assert_eq!(large.call(&head).status(), 413);
    // Without a stated length the body is counted while it arrives.
    let mut large = node.client();
    let head = pay("r3", "5000m").replace(
        "Content-Length: 4\r\n\r\nbody",
        "Transfer-Encoding: chunked\r\n\r\n",
    );
    large.send(&format!("{head}10001\r\n{}\r\n", "x".repeat(0x10001)));
    assert_eq!(large.read_response().expect("a response").status(), 413);
    node.client().send("\u{16}\u{3}\u{1} garbage \r\n\r\n\r\n");
    assert_eq!(client.call(&good).status(), 200);
    assert_eq!(upstream.request().header("req-id"), Some("r1"));
    assert_eq!(upstream.additional_requests(), 0);
}

#[test]
fn rejection_is_immediate_with_a_retry_time() {
    // No upstream is known, and the deadline is far away.
    let node = Node::start(1024, "null");
    let mut client = node.client();
    assert_eq!(
        client
            .call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            .status(),
        503
    );
    let started = std::time::Instant::now();
    let response = client.call(&pay("r1", "86400000m"));
    assert_eq!(response.status(), 503);
    assert!(started.elapsed() < TEST_TIMEOUT);
    let retry_after: f64 = response
        .header("retry-after")
        .expect("retry-after header")
        .parse()
        .expect("a number");
    assert!(retry_after > 0.0 && retry_after <= 2.0, "{retry_after}");
}

#[test]
fn configuration_error_is_reported_on_one_line() {
    let good = config(refusing(), 1024, "null");
    for (from, to, field) in [
        ("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":5", "seed"),
        ("127.0.0.1:0", "nowhere", "listen"),
        (
            "\"balancers\":1",
            "\"balancers\":\"x\"",
            "settings: balancers",
        ),
        ("\"tip_multiple\":4", "\"other\":4", "tip_multiple"),
        ("\"sockets\":1024", "\"sockets\":-1", "limits.sockets"),
    ] {
        let output = command(&good.replace(from, to))
            .output()
            .expect("run the program");
        let log = String::from_utf8(output.stderr).expect("UTF-8 text");
        assert!(!output.status.success());
        assert!(
            log.lines().count() == 1 && log.contains(field),
            "{field}: {log}"
        );
    }
}
