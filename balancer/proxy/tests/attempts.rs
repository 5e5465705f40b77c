//! Attempts on real sockets: when a request may be written, what counts as a response, and how a request ends when its
//! upstream fails. Each test produces one unfavourable order of events.
mod common;
use common::raw::{RawConnection, RawUpstream};
use common::{
    command, config, get, listing, pay, read, refusing, Discovery, Message, Node, Unreachable,
    TEST_TIMEOUT,
};
use std::time::{Duration, Instant};

const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

/// A balancer with one upstream that does not accept connections yet. Attempts are not cancelled when their client
/// disconnects.
fn node_with_pending_dial() -> (Node, Unreachable) {
    let unreachable = Unreachable::start();
    let discovery = Discovery::start();
    let config = config(
        discovery.addr,
        1024,
        &listing(1, true, &[(0, unreachable.addr, "active")]),
    )
    .replace("\"idle_close\"", "\"dial_timeout\":20000,\"idle_close\"")
    .replace("\"cancel\":true", "\"cancel\":false");
    let node = Node::run(command(&config), discovery);
    node.discovery.next_call_path();
    (node, unreachable)
}

#[test]
fn connection_completing_with_client_disconnect_carries_no_request() {
    let (node, unreachable) = node_with_pending_dial();
    let baseline = node.descriptors();
    let mut client = node.client();
    client.send(&pay("r1", "20000m"));
    node.wait_for_descriptors(|n| n >= baseline + 2, "the balancer does not dial");
    // Both events are pending when the process resumes, the connection first.
    node.pause();
    let mut upstream = unreachable.start_accepting();
    client.disconnect();
    node.resume();
    assert!(read(&mut upstream).is_none(), "a request was written");
}

/// Waits for the next request on any of these connections and returns it with its connection. Closed connections are
/// dropped.
fn next_request(open: &mut Vec<RawConnection>) -> (Message, RawConnection) {
    let began = Instant::now();
    loop {
        assert!(began.elapsed() < TEST_TIMEOUT, "no request arrived");
        if let Some(at) = open.iter().position(RawConnection::has_input) {
            let mut connection = open.swap_remove(at);
            if let Some(request) = connection.request() {
                return (request, connection);
            }
        }
        std::thread::yield_now();
    }
}

#[test]
fn failed_attempt_is_not_retried_after_client_disconnects() {
    let upstreams = [RawUpstream::start(), RawUpstream::start()];
    let node = Node::with_upstreams(&[upstreams[0].addr, upstreams[1].addr]);
    let mut clients = [node.client(), node.client()];
    // An idle connection to each upstream, so that the second attempt needs no dial: the first request is held until
    // the other connection is up.
    clients[0].send(&get("w0", "20000m"));
    clients[1].send(&get("w1", "20000m"));
    let mut connections = [upstreams[0].accept(), upstreams[1].accept()];
    for connection in &mut connections {
        connection.request().expect("a request");
        connection.respond("warm");
    }
    let [mut disconnecting, mut remaining] = clients;
    assert_eq!(
        (
            disconnecting.read_response().expect("a response").status(),
            remaining.read_response().expect("a response").status()
        ),
        (200, 200)
    );
    disconnecting.send(&get("gone", "20000m"));
    let mut open = Vec::from(connections);
    let (request, mut pending) = next_request(&mut open);
    assert_eq!(request.header("req-id"), Some("gone"));
    node.pause();
    pending.write("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
    disconnecting.disconnect();
    node.resume();
    open.push(pending);
    // Anything written for the disconnected client would be written before the next request.
    remaining.send(&get("next", "20000m"));
    let (request, mut connection) = next_request(&mut open);
    assert_eq!(request.header("req-id"), Some("next"));
    connection.respond("x");
    assert_eq!(remaining.read_response().expect("a response").status(), 200);
    let has_request = |mut other: RawConnection| other.has_input() && other.request().is_some();
    assert!(
        !open.into_iter().any(has_request),
        "the disconnected client has another attempt"
    );
}

/// What an upstream does after it has written its part of a response.
#[derive(Clone, Copy, Debug)]
enum AfterWrite {
    Close,
    Reset,
    KeepOpen,
}

/// Sends one request, has the upstream write `text` and then act as `then` says, and returns the response that the
/// client got.
fn response_to(text: &str, then: AfterWrite, deadline: &str) -> Message {
    let upstream = RawUpstream::start();
    let node = Node::with_upstreams(&[upstream.addr]);
    let mut client = node.client();
    client.send(&pay("r1", deadline));
    let mut connection = upstream.accept();
    connection.request().expect("a request");
    connection.write(text);
    let response = match then {
        AfterWrite::Close => {
            drop(connection);
            client.read_response()
        }
        AfterWrite::Reset => {
            connection.reset();
            client.read_response()
        }
        AfterWrite::KeepOpen => {
            let response = client.read_response();
            assert!(
                connection.read_until_closed().is_empty(),
                "more than one request arrived"
            );
            response
        }
    };
    // The request may have been executed, and there is one response: the next one on the connection belongs to the
    // next request.
    assert_eq!(client.call(READY).status(), 200);
    response.expect("a final response")
}

#[test]
fn unsized_response_is_complete_at_close_not_reset() {
    let text = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe answer";
    let complete = response_to(text, AfterWrite::Close, "20000m");
    assert_eq!(
        (complete.status(), complete.body.as_slice()),
        (200, &b"the answer"[..])
    );
    assert_eq!(response_to(text, AfterWrite::Reset, "20000m").status(), 502);
    // The same for a response without `Connection: close`, with an empty body.
    let text = "HTTP/1.1 200 OK\r\n\r\n";
    assert_eq!(response_to(text, AfterWrite::Close, "20000m").status(), 200);
    assert_eq!(response_to(text, AfterWrite::Reset, "20000m").status(), 502);
}

#[test]
fn malformed_or_truncated_response_fails_the_attempt() {
    let long = "x".repeat((64 << 10) + 1);
    let long = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{long}",
        long.len()
    );
    let chunks = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n{}",
        "x".repeat(0x10001)
    );
    let head = format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(70 << 10));
    for text in [
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "",
        &long,
        &chunks,
        &head,
    ] {
        for then in [AfterWrite::Close, AfterWrite::Reset] {
            assert_eq!(response_to(text, then, "20000m").status(), 502, "{then:?} after {:.80}", text);
        }
    }
}

#[test]
fn interim_responses_are_skipped() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    let text = format!("{interim}HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    let complete = response_to(&text, AfterWrite::Close, "20000m");
    assert_eq!(
        (complete.status(), complete.body.as_slice()),
        (200, &b"body"[..])
    );
}

#[test]
fn stalled_response_is_limited_by_the_request_deadline() {
    for text in [
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
        "HTTP/1.1 103 Early Hints\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX: ",
    ] {
        assert_eq!(
            response_to(text, AfterWrite::KeepOpen, "300m").status(),
            502,
            "{text}"
        );
    }
}

#[test]
fn endless_response_is_aborted_at_the_deadline() {
    for (head, more) in [
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "1\r\nx\r\n",
        ),
        ("HTTP/1.1 200 OK\r\n\r\n", "x"),
        ("HTTP/1.1 200 OK\r\n", "X: x\r\n"),
        ("", "HTTP/1.1 102 Processing\r\n\r\n"),
    ] {
        let upstream = RawUpstream::start();
        let node = Node::with_upstreams(&[upstream.addr]);
        let mut client = node.client();
        client.send(&pay("r1", "300m"));
        let mut connection = upstream.accept();
        connection.request().expect("a request");
        connection.write(head);
        // Writes as fast as the balancer reads, until the balancer closes the connection.
        let writer = std::thread::spawn(move || while connection.try_write(more) {});
        assert_eq!(
            client.read_response().expect("a final response").status(),
            502,
            "{more}"
        );
        writer.join().expect("exits");
        assert_eq!(client.call(READY).status(), 200);
    }
}

#[test]
fn unsolicited_second_response_closes_the_upstream_connection() {
    let upstream = RawUpstream::start();
    let node = Node::with_upstreams(&[upstream.addr]);
    let mut client = node.client();
    let second = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
    // Together with the first response, after it, and in part.
    for (with, after) in [
        (second, ""),
        ("", second),
        ("", "HTTP/1.1"),
        ("\r\n", ""),
        ("", "\r\n"),
    ] {
        client.send(&pay("r1", "20000m"));
        let mut connection = upstream.accept();
        connection.request().expect("a request");
        connection.write(&format!(
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst{with}"
        ));
        assert_eq!(client.read_response().expect("a response").body, b"first");
        connection.write(after);
        assert!(
            connection.read_until_closed().is_empty(),
            "another request arrived"
        );
    }
}

#[test]
fn connection_reuse_waits_for_late_second_responses() {
    let upstream = RawUpstream::start();
    let node = Node::with_upstreams(&[upstream.addr]);
    let mut client = node.client();
    client.send(&pay("r", "20000m"));
    let mut connection = upstream.accept();
    for _ in 0..20 {
        connection
            .request()
            .expect("a request on the same connection");
        // Taken before the response is written, so the measured time is at least the wait of the balancer.
        let answered = Instant::now();
        connection.respond("x");
        client.read_response().expect("a response");
        client.send(&pay("r", "20000m"));
        while !connection.has_input() {
            assert!(answered.elapsed() < TEST_TIMEOUT, "no request arrived");
            std::thread::yield_now();
        }
        let after = answered.elapsed();
        assert!(after >= Duration::from_millis(10), "{after:?}");
    }
}

/// Sends a second response while the next request is on its way. Returns `None` when this machine was so slow that the
/// second response came later than the balancer guards against, which is inconclusive.
fn response_after_early_second_response() -> Option<Message> {
    let upstream = RawUpstream::start();
    let node = Node::with_upstreams(&[upstream.addr]);
    let mut client = node.client();
    client.send(&pay("r1", "20000m"));
    let mut connection = upstream.accept();
    connection.request().expect("a request");
    let answered = Instant::now();
    connection.respond("first");
    assert_eq!(client.read_response().expect("a response").body, b"first");
    client.send(&pay("r2", "20000m"));
    // Long enough for a balancer that does not wait to write the request.
    std::thread::sleep(Duration::from_millis(3));
    connection.respond("second");
    if answered.elapsed() >= Duration::from_millis(10) {
        return None;
    }
    assert!(
        connection.read_until_closed().is_empty(),
        "a request arrived on a connection with an unsolicited response"
    );
    let mut connection = upstream.accept();
    assert_eq!(
        connection.request().expect("a request").header("req-id"),
        Some("r2")
    );
    connection.respond("own");
    client.read_response()
}

#[test]
fn second_response_milliseconds_late_reaches_no_client() {
    let began = Instant::now();
    let mut conclusive_runs = 0;
    while conclusive_runs < 5 {
        assert!(
            began.elapsed() < TEST_TIMEOUT,
            "this machine is too slow: too few conclusive runs"
        );
        if let Some(response) = response_after_early_second_response() {
            assert_eq!(response.body, b"own");
            conclusive_runs += 1;
        }
    }
}

#[test]
fn failed_connections_leave_no_open_descriptors() {
    let upstream = RawUpstream::start();
    let node = Node::with_upstreams(&[upstream.addr, refusing()]);
    let mut client = node.client();
    node.discovery.next_call_path();
    assert_eq!(client.call(READY).status(), 200);
    let baseline = node.descriptors();
    std::thread::spawn(move || loop {
        let mut connection = upstream.accept();
        // Some connections are closed before a request, some reset after it, some in the middle of a response.
        for text in ["", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"] {
            if connection.request().is_some() {
                connection.write(text);
            }
            connection.reset();
            connection = upstream.accept();
        }
    });
    for i in 0..60 {
        let status = client.call(&get(&format!("r{i}"), "300m")).status();
        assert!(status == 502 || status == 503, "{status}");
    }
    node.wait_for_descriptors(
        |n| n <= baseline,
        "descriptors of failed connections are still open",
    );
}
