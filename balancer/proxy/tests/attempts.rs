//! Attempts on real sockets: what may be written, what counts as an answer, and what an upstream's trouble leaves of a
//! request. Each test brings about one bad order of events.
mod common;
use common::raw::{RawConnection, RawUpstream};
use common::{
    command, config, get, listing, pay, read, refusing, Discovery, Message, Node, Unreachable,
    TEST_TIMEOUT,
};
use std::time::{Duration, Instant};

const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

/// A balancer with one upstream that does not come up yet, and whose attempts go on without their client.
fn dialling() -> (Node, Unreachable) {
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
    node.discovery.called();
    (node, unreachable)
}

#[test]
fn a_client_that_left_in_the_very_turn_in_which_a_dial_ended_gets_no_attempt() {
    let (node, unreachable) = dialling();
    let without = node.descriptors();
    let mut client = node.client();
    client.send(&pay("r1", "20000m"));
    node.holds(|n| n >= without + 2, "it does not dial");
    // Both wait for it when it goes on, the connection first.
    node.pause();
    let mut upstream = unreachable.reach();
    client.disconnect();
    node.resume();
    assert!(read(&mut upstream).is_none(), "something was written");
}

/// The next request on any of these connections, and that connection; those that ended are let go.
fn next_request(open: &mut Vec<RawConnection>) -> (Message, RawConnection) {
    let began = Instant::now();
    loop {
        assert!(began.elapsed() < TEST_TIMEOUT, "nothing comes");
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
fn a_client_that_left_with_the_end_of_one_attempt_gets_no_other() {
    let upstreams = [RawUpstream::start(), RawUpstream::start()];
    let node = Node::with(&[upstreams[0].addr, upstreams[1].addr]);
    let mut clients = [node.client(), node.client()];
    // An idle connection to each, so that the second attempt would need no dial: the first is held until the other is up.
    clients[0].send(&get("w0", "20000m"));
    clients[1].send(&get("w1", "20000m"));
    let mut connections = [upstreams[0].accept(), upstreams[1].accept()];
    for connection in &mut connections {
        connection.request().expect("a request");
        connection.answer("warm");
    }
    let [mut disconnecting, mut staying] = clients;
    assert_eq!(
        (
            disconnecting.answer().expect("an answer").status(),
            staying.answer().expect("one").status()
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
    // Whatever is written for the one that left is written before what comes later.
    staying.send(&get("next", "20000m"));
    let (request, mut connection) = next_request(&mut open);
    assert_eq!(request.header("req-id"), Some("next"));
    connection.answer("x");
    assert_eq!(staying.answer().expect("an answer").status(), 200);
    let has_request = |mut other: RawConnection| other.has_input() && other.request().is_some();
    assert!(
        !open.into_iter().any(has_request),
        "the one that left has another attempt"
    );
}

/// What an upstream does after it has written its part of an answer.
#[derive(Clone, Copy, Debug)]
enum After {
    End,
    Reset,
    NoResponse,
}

/// Has one request answered with `text`, whatever follows, and returns what the client got.
fn answered_with(text: &str, then: After, deadline: &str) -> Message {
    let upstream = RawUpstream::start();
    let node = Node::with(&[upstream.addr]);
    let mut client = node.client();
    client.send(&pay("r1", deadline));
    let mut connection = upstream.accept();
    connection.request().expect("a request");
    connection.write(text);
    let answer = match then {
        After::End => {
            drop(connection);
            client.answer()
        }
        After::Reset => {
            connection.reset();
            client.answer()
        }
        After::NoResponse => {
            let answer = client.answer();
            assert!(connection.ended().is_empty(), "more than the one request");
            answer
        }
    };
    // It may have run, and there is one answer: the next on the connection is the next request's.
    assert_eq!(client.call(READY).status(), 200);
    answer.expect("a final answer")
}

#[test]
fn a_response_without_a_length_is_complete_at_its_end_and_broken_by_a_reset() {
    let text = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe answer";
    let complete = answered_with(text, After::End, "20000m");
    assert_eq!(
        (complete.status(), complete.body.as_slice()),
        (200, &b"the answer"[..])
    );
    assert_eq!(answered_with(text, After::Reset, "20000m").status(), 502);
    // The same where it never said that it would close, and where nothing of the body came.
    let text = "HTTP/1.1 200 OK\r\n\r\n";
    assert_eq!(answered_with(text, After::End, "20000m").status(), 200);
    assert_eq!(answered_with(text, After::Reset, "20000m").status(), 502);
}

#[test]
fn a_broken_answer_is_a_failed_attempt_and_never_passed_on() {
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
        for then in [After::End, After::Reset] {
            assert_eq!(answered_with(text, then, "20000m").status(), 502, "{then:?} after {:.80}", text);
        }
    }
}

#[test]
fn an_answer_after_an_interim_one_is_the_answer() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    let text = format!("{interim}HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    let complete = answered_with(&text, After::End, "20000m");
    assert_eq!(
        (complete.status(), complete.body.as_slice()),
        (200, &b"body"[..])
    );
}

#[test]
fn an_answer_that_stops_midway_costs_no_more_than_the_time_of_its_request() {
    for text in [
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
        "HTTP/1.1 103 Early Hints\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX: ",
    ] {
        assert_eq!(
            answered_with(text, After::NoResponse, "300m").status(),
            502,
            "{text}"
        );
    }
}

#[test]
fn an_answer_that_never_ends_is_given_up_in_time() {
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
        let node = Node::with(&[upstream.addr]);
        let mut client = node.client();
        client.send(&pay("r1", "300m"));
        let mut connection = upstream.accept();
        connection.request().expect("a request");
        connection.write(head);
        // As fast as it is read, until the balancer ends the connection.
        let writer = std::thread::spawn(move || while connection.try_write(more) {});
        assert_eq!(
            client.answer().expect("a final answer").status(),
            502,
            "{more}"
        );
        writer.join().expect("it ends");
        assert_eq!(client.call(READY).status(), 200);
    }
}

#[test]
fn a_second_answer_spoils_its_connection_and_answers_nobody() {
    let upstream = RawUpstream::start();
    let node = Node::with(&[upstream.addr]);
    let mut client = node.client();
    let second = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
    // With the first one, after it, and in part.
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
        assert_eq!(client.answer().expect("an answer").body, b"first");
        connection.write(after);
        assert!(connection.ended().is_empty(), "another request came");
    }
}

#[test]
fn no_request_follows_an_answer_so_soon_that_a_late_second_one_could_be_its_own() {
    let upstream = RawUpstream::start();
    let node = Node::with(&[upstream.addr]);
    let mut client = node.client();
    client.send(&pay("r", "20000m"));
    let mut connection = upstream.accept();
    for _ in 0..20 {
        connection
            .request()
            .expect("a request on the same connection");
        // The balancer has it after this, so that it waits longer than is measured.
        let answered = Instant::now();
        connection.answer("x");
        client.answer().expect("an answer");
        client.send(&pay("r", "20000m"));
        while !connection.has_input() {
            assert!(answered.elapsed() < TEST_TIMEOUT, "nothing comes");
            std::thread::yield_now();
        }
        let after = answered.elapsed();
        assert!(after >= Duration::from_millis(10), "{after:?}");
    }
}

/// Has a second answer come while the next request is on its way. `None`: this machine was so slow that it came later than
/// is guarded against, which shows nothing.
fn second_answer_soon_after_the_first() -> Option<Message> {
    let upstream = RawUpstream::start();
    let node = Node::with(&[upstream.addr]);
    let mut client = node.client();
    client.send(&pay("r1", "20000m"));
    let mut connection = upstream.accept();
    connection.request().expect("a request");
    let answered = Instant::now();
    connection.answer("first");
    assert_eq!(client.answer().expect("an answer").body, b"first");
    client.send(&pay("r2", "20000m"));
    // Time enough for a balancer that doesn't wait.
    std::thread::sleep(Duration::from_millis(3));
    connection.answer("second");
    if answered.elapsed() >= Duration::from_millis(10) {
        return None;
    }
    assert!(
        connection.ended().is_empty(),
        "a request came on a spoilt connection"
    );
    let mut connection = upstream.accept();
    assert_eq!(
        connection.request().expect("a request").header("req-id"),
        Some("r2")
    );
    connection.answer("own");
    client.answer()
}

#[test]
fn a_second_answer_some_milliseconds_late_answers_nobody() {
    let began = Instant::now();
    let mut shown = 0;
    while shown < 5 {
        assert!(
            began.elapsed() < TEST_TIMEOUT,
            "this machine is too slow to show it"
        );
        if let Some(answer) = second_answer_soon_after_the_first() {
            assert_eq!(answer.body, b"own");
            shown += 1;
        }
    }
}

#[test]
fn connections_that_fail_leave_no_descriptor_behind() {
    let upstream = RawUpstream::start();
    let node = Node::with(&[upstream.addr, refusing()]);
    let mut client = node.client();
    node.discovery.called();
    assert_eq!(client.call(READY).status(), 200);
    let without = node.descriptors();
    std::thread::spawn(move || loop {
        let mut connection = upstream.accept();
        // Some are ended before a request, some by a reset after it, some in the middle of an answer.
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
    node.holds(|n| n <= without, "failed connections are still held");
}
