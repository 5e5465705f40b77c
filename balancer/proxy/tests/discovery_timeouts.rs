//! Discovery that falls silent: what it has to tell counts as told some seconds later, whether it came or not.
mod common;
use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// Discovery that says nothing to so many calls, and gives the list to each one after them; tells when calls come.
fn unresponsive(times: usize, list: String) -> (SocketAddr, Receiver<Instant>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let addr = listener.local_addr().expect("an address");
    let (tell, calls) = channel();
    thread::spawn(move || {
        let mut open_streams = Vec::new();
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let mut stream = BufReader::new(stream);
            if read(&mut stream).is_none() || tell.send(Instant::now()).is_err() {
                return;
            }
            if number >= times {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                let _ = stream.get_mut().write_all((head + &list).as_bytes());
            }
            // Stays open, and silent from here on.
            open_streams.push(stream);
        }
    });
    (addr, calls)
}

fn what_three_silences_hid_is_known_in_time(mode: &str) {
    let (old, new) = (
        Upstream::start(|_| ok("old")),
        Upstream::start(|_| ok("new")),
    );
    let (addr, calls) = unresponsive(3, listing(6, true, &[(1, new.addr, "active")]));
    let known = listing(5, true, &[(0, old.addr, "active")]);
    let config = config(addr, 1024, &known).replace("on_request", mode);
    let node = Node::run(command(&config), Discovery::start());
    let calls: Vec<Instant> = (0..4)
        .map(|_| calls.recv_timeout(TEST_TIMEOUT).expect("a call"))
        .collect();
    // What the first one hid counts as told 6 s after it fell silent. A slow machine lengthens a wait, so that the
    // shortest of those on which it rests says what was meant.
    let waits = calls.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(
        waits.min().expect("three waits") * 3 < Duration::from_secs(6),
        "{calls:?}"
    );
    let mut client = node.client();
    let started = Instant::now();
    while client.call(&get("r", "5000m")).body != b"new" {
        assert!(started.elapsed() < TEST_TIMEOUT, "the list is not in use");
    }
}

#[test]
fn what_three_silences_of_a_pushed_list_hid_is_known_in_time() {
    what_three_silences_hid_is_known_in_time("pushed");
}

#[test]
fn what_three_timeouts_of_a_polled_list_hid_is_known_in_time() {
    what_three_silences_hid_is_known_in_time("on_request");
}

/// A process without a list asks no more rarely the longer discovery is silent: it would stay without one for long after
/// discovery is back.
#[test]
fn a_first_list_is_requested_as_often_as_changes() {
    for mode in ["pushed", "on_request"] {
        let new = Upstream::start(|_| ok("new"));
        let (addr, calls) = unresponsive(4, listing(6, true, &[(1, new.addr, "active")]));
        let config = config(addr, 1024, "null").replace("on_request", mode);
        let node = Node::run(command(&config), Discovery::start());
        let calls: Vec<Instant> = (0..5)
            .map(|_| calls.recv_timeout(TEST_TIMEOUT).expect("a call"))
            .collect();
        // 1.5 s each; a slow machine lengthens a wait, but not the last beyond the first by so much.
        assert!(
            calls[4] - calls[3] < Duration::from_secs(4),
            "{mode}: {calls:?}"
        );
        let (mut client, started) = (node.client(), Instant::now());
        while client.call(&get("r", "5000m")).body != b"new" {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "{mode}: the list is not in use"
            );
        }
    }
}
