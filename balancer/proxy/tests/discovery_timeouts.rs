//! Discovery that stops responding: what it has to report counts as reported a few seconds later, whether or not a
//! call received it.
mod common;
use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// Discovery that ignores this number of calls and then responds to each with the list; sends the time of each call.
fn discovery_ignoring_calls(times: usize, list: String) -> (SocketAddr, Receiver<Instant>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let addr = listener.local_addr().expect("socket address");
    let (calls_tx, calls) = channel();
    thread::spawn(move || {
        let mut open_streams = Vec::new();
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let mut stream = BufReader::new(stream);
            if read(&mut stream).is_none() || calls_tx.send(Instant::now()).is_err() {
                return;
            }
            if number >= times {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                let _ = stream.get_mut().write_all((head + &list).as_bytes());
            }
            // Stays open without further output.
            open_streams.push(stream);
        }
    });
    (addr, calls)
}

fn assert_change_known_after_three_timeouts(mode: &str) {
    let (old, new) = (
        Upstream::start(|_| ok("old")),
        Upstream::start(|_| ok("new")),
    );
    let (addr, calls) = discovery_ignoring_calls(3, listing(6, true, &[(1, new.addr, "active")]));
    let known = listing(5, true, &[(0, old.addr, "active")]);
    let config = config(addr, 1024, &known).replace("on_request", mode);
    let node = Node::run(command(&config), Discovery::start());
    let calls: Vec<Instant> = (0..4)
        .map(|_| {
            calls
                .recv_timeout(TEST_TIMEOUT)
                .expect("a call to discovery")
        })
        .collect();
    // A change hidden by the first timeout counts as reported 6 s after it began. A slow machine lengthens intervals,
    // so the shortest one shows the intended interval.
    let intervals = calls.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(
        intervals.min().expect("three intervals") * 3 < Duration::from_secs(6),
        "{calls:?}"
    );
    let mut client = node.client();
    let started = Instant::now();
    while client.call(&get("r", "5000m")).body != b"new" {
        assert!(started.elapsed() < TEST_TIMEOUT, "the list is not applied");
    }
}

#[test]
fn pushed_change_is_known_after_three_timeouts() {
    assert_change_known_after_three_timeouts("pushed");
}

#[test]
fn polled_change_is_known_after_three_timeouts() {
    assert_change_known_after_three_timeouts("on_request");
}

/// A process without a list does not back off while discovery times out: it would stay without a list long after
/// discovery recovers.
#[test]
fn first_list_is_requested_as_often_as_changes() {
    for mode in ["pushed", "on_request"] {
        let new = Upstream::start(|_| ok("new"));
        let (addr, calls) =
            discovery_ignoring_calls(4, listing(6, true, &[(1, new.addr, "active")]));
        let config = config(addr, 1024, "null").replace("on_request", mode);
        let node = Node::run(command(&config), Discovery::start());
        let calls: Vec<Instant> = (0..5)
            .map(|_| {
                calls
                    .recv_timeout(TEST_TIMEOUT)
                    .expect("a call to discovery")
            })
            .collect();
        // Intervals are 1.5 s. A slow machine lengthens one, but the last not by this much more than the first.
        assert!(
            calls[4] - calls[3] < Duration::from_secs(4),
            "{mode}: {calls:?}"
        );
        let (mut client, started) = (node.client(), Instant::now());
        while client.call(&get("r", "5000m")).body != b"new" {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "{mode}: the list is not applied"
            );
        }
    }
}
