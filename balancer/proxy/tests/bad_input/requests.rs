//! Requests that are truncated, invalid or mutated.
use crate::common::*;
use crate::process::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};

/// Sends these bytes, shuts down the write side, and returns the status of the first response; `None` if the
/// connection ends without one.
fn status_of(node: &Node, bytes: &[u8]) -> Option<u16> {
    let stream = TcpStream::connect(node.addr).expect("connect");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("set timeout");
    let mut stream = BufReader::new(stream);
    // The balancer may close the connection before all bytes are written.
    let _ = stream.get_mut().write_all(bytes);
    let _ = stream.get_mut().shutdown(Shutdown::Write);
    let mut line = String::new();
    let _ = stream.read_line(&mut line);
    let rest = stream.read_to_end(&mut Vec::new());
    assert!(rest.is_ok() || rest.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset));
    line.split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
}

#[test]
fn request_truncated_at_any_length_is_not_forwarded() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = Node::with_upstreams(&[upstream.addr]);
    let complete = pay("cut", "5000m");
    for length in 0..complete.len() {
        let status = status_of(&node, &complete.as_bytes()[..length]);
        assert!(
            status.is_none_or(|s| (400..500).contains(&s)),
            "{length}: {status:?}"
        );
    }
    assert_serves(&node, "after");
    assert_eq!(upstream.request().header("req-id"), Some("after"));
    assert_no_panic(&node);
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "a table of requests and their responses"
)]
fn invalid_request_is_rejected_and_not_forwarded() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = Node::with_upstreams(&[upstream.addr]);
    let valid = get("r1", "5000m");
    let status = |from: &str, to: &str| {
        assert!(valid.contains(from), "{from}");
        node.client().call(&valid.replacen(from, to, 1)).status()
    };
    for deadline in [
        "NaNm",
        "infm",
        "-5m",
        "1e300m",
        "",
        "m",
        "5000",
        "99999999999999999999m",
        "5000m, 5000m",
    ] {
        assert_eq!(
            status("Req-Deadline: 5000m", &format!("Req-Deadline: {deadline}")),
            400,
            "{deadline}"
        );
    }
    for (from, to) in [
        ("Req-Id: r1", "Req-Id: "),
        ("Req-Id: r1", "Req-Id: r1\r\nReq-Id: r2"),
        ("Req-Id: r1", "Req-Id: \u{e9}"),
        ("Req-Kind: read", "Req-Kind: write"),
        ("Req-Kind: read", "Req-Kind: read\r\nReq-Kind: read"),
        ("Req-Kind: read\r\n", ""),
        ("Req-Owner: club", "Req-Owner: nobody"),
        (
            "Req-Deadline: 5000m",
            "Req-Deadline: 5000m\r\nReq-Deadline: 6000m",
        ),
        ("\r\n\r\n", "\r\nContent-Length: 1\r\n\r\nx"),
        ("\r\n\r\n", "\r\nContent-Length: -1\r\n\r\n"),
        (
            "\r\n\r\n",
            "\r\nContent-Length: 18446744073709551616\r\n\r\n",
        ),
        (
            "\r\n\r\n",
            "\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
        ),
        (
            "\r\n\r\n",
            "\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
        ),
    ] {
        assert_eq!(status(from, to), 400, "{to:?}");
    }
    let long = "x".repeat(257);
    assert_eq!(status("Req-Id: r1", &format!("Req-Id: {long}")), 400);
    let body = pay("r1", "5000m").replace(
        "Content-Length: 4\r\n\r\nbody",
        "Content-Length: 65537\r\n\r\n",
    );
    assert_eq!(node.client().call(&body).status(), 413);
    // A request whose deadline has passed is not forwarded.
    let expired = status("Req-Deadline: 5000m", "Req-Deadline: 0m");
    assert!((500..600).contains(&expired), "{expired}");
    let oversized = valid.replacen(
        "Req-Id: r1",
        &format!("Req-Id: r1\r\nX-Huge: {}", "x".repeat(1 << 20)),
        1,
    );
    assert!(status_of(&node, oversized.as_bytes()).is_none_or(|s| s == 431));
    // Unknown headers are forwarded unchanged.
    assert_eq!(status("Req-Id: r1", "Req-Id: last\r\nX-Novel: 1e300"), 200);
    assert_eq!(upstream.request().header("req-id"), Some("last"));
    assert_eq!(upstream.additional_requests(), 0);
    assert_no_panic(&node);
}

#[test]
fn mutated_requests_do_not_affect_other_clients() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = Node::with_upstreams(&[upstream.addr]);
    // A linear congruential generator (upper half of its state), so that every run uses the same numbers.
    let mut state = 7_u64;
    let mut below = |n: usize| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as usize % n.max(1)
    };
    let mut other_client = node.client();
    for round in 0..1_000 {
        let mut bytes = pay("mutated", "50m").into_bytes();
        for _ in 0..=below(3) {
            let at = below(bytes.len());
            let to = (at + 1 + below(20)).min(bytes.len());
            match below(4) {
                0 => bytes[at] = below(256) as u8,
                1 => drop(bytes.drain(at..to)),
                2 => {
                    let again = bytes[at..to].to_vec();
                    bytes.splice(at..at, again);
                }
                _ => drop(bytes.splice(at..to, *b"\r\n")),
            }
        }
        status_of(&node, &bytes);
        if round % 50 == 0 {
            assert_eq!(
                other_client.call(&get("steady", "5000m")).status(),
                200,
                "{round}"
            );
        }
    }
    assert_no_panic(&node);
}
