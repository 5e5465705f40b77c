//! Many improper clients at once beside proper ones, and clients that never read their answers: the improper get an
//! error or a close in time, the proper their answers, and memory stays bounded.
mod common;
#[path = "common/raw_client.rs"]
mod raw_client;
#[path = "common/shutdown.rs"]
mod shutdown;
use common::*;
use raw_client::RawClient;
use shutdown::shuts_down_within;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

/// An improper client gets an error or a close within this of connecting.
const IMPROPER_MOST: Duration = Duration::from_secs(3);
/// The same where it sends tens of megabytes.
const MEGABYTES_MOST: Duration = Duration::from_secs(6);
/// What the configuration allows, in kB.
const MEMORY_MOST: u64 = 192 << 10;
const IMPROPER: usize = 200;
const PROPER: usize = 8;
const REQUESTS_EACH: usize = 50;
const MEGABYTE: usize = 1 << 20;
/// One of the floods is this long.
const FLOOD_MEGABYTES: usize = 60;
/// Clients that read nothing, and the requests that each sends.
const UNREADING: usize = 20;
const UNREAD_REQUESTS: usize = 200;

/// What an improper client sends.
#[derive(Clone, Copy, Debug)]
enum Improper {
    NoResponse,
    Garbage,
    HalfHead,
    HalfBody,
    /// Megabytes that are no request from their first byte on.
    Megabytes(usize),
    /// Megabytes that might be the name of a method.
    MegabytesOfMethod(usize),
    /// Megabytes of a body that is too large.
    MegabytesOfBody(usize),
}

impl Improper {
    fn nth(n: usize) -> Improper {
        match n % 10 {
            0 | 1 => Improper::NoResponse,
            2 | 3 => Improper::Garbage,
            4 | 5 => Improper::HalfHead,
            6 => Improper::HalfBody,
            7 => Improper::Megabytes(2),
            8 => Improper::MegabytesOfMethod(2),
            _ => Improper::MegabytesOfBody(2),
        }
    }

    fn send(self, client: &mut RawClient) {
        let (head, request) = (get("improper", "5000m"), pay("improper", "5000m"));
        match self {
            Improper::NoResponse => {}
            Improper::Garbage => client.send(b"\x16\x03\x01 improper\r\n\r\n"),
            Improper::HalfHead => client.send(&head.as_bytes()[..head.len() / 2]),
            Improper::HalfBody => client.send(&request.as_bytes()[..request.len() - 2]),
            Improper::Megabytes(count) => drop(client.flood(&[0xff; MEGABYTE], count)),
            Improper::MegabytesOfMethod(count) => drop(client.flood(&[b'A'; MEGABYTE], count)),
            Improper::MegabytesOfBody(count) => {
                let length = format!("Content-Length: {}", count * MEGABYTE);
                client.send(
                    request
                        .replace("Content-Length: 4", &length)
                        .trim_end_matches("body")
                        .as_bytes(),
                );
                client.flood(&[b'x'; MEGABYTE], count);
            }
        }
    }

    /// Plays it. Returns how long the balancer took to end the connection.
    fn play(self, addr: SocketAddr) -> Duration {
        let mut client = RawClient::connect(addr, TEST_TIMEOUT);
        let connected = Instant::now();
        self.send(&mut client);
        let (bytes, _) = client.rest();
        let took = connected.elapsed();
        let is_error = bytes.is_empty() || bytes.starts_with(b"HTTP/1.1 4");
        assert!(is_error, "{self:?}: {:?}", String::from_utf8_lossy(&bytes));
        took
    }
}

/// The most memory that it has held so far, in kB.
fn peak_memory(node: &Node) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", node.id())).expect("its status");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .expect("its peak");
    line.trim()
        .trim_end_matches(" kB")
        .parse()
        .expect("a number")
}

/// A client that sends one request after another and must get one final answer to each.
fn is_served(addr: SocketAddr, number: usize) {
    let mut client = Client::connect(addr).expect("connects");
    for n in 0..REQUESTS_EACH {
        let id = format!("proper-{number}-{n}");
        let request = if n.is_multiple_of(2) {
            get(&id, "20000m")
        } else {
            pay(&id, "20000m")
        };
        assert_eq!(client.call(&request).status(), 200, "{id}");
    }
}

/// Each proper request went to an upstream, once where it must never run twice; no improper one did.
fn went_on_in_order(upstream: &Upstream) {
    let mut sent: HashMap<String, usize> = HashMap::new();
    for seen in upstream.seen.try_iter() {
        if let Seen::Request(request) = seen {
            *sent
                .entry(request.header("req-id").expect("an id").to_string())
                .or_default() += 1;
        }
    }
    assert!(!sent.contains_key("improper"));
    assert_eq!(sent.len(), PROPER * REQUESTS_EACH);
    let paid = |id: &str| {
        id.rsplit('-')
            .next()
            .and_then(|n| n.parse::<usize>().ok())
            .is_some_and(|n| n % 2 == 1)
    };
    let twice: Vec<_> = sent
        .iter()
        .filter(|(id, times)| paid(id) && **times != 1)
        .collect();
    assert!(twice.is_empty(), "{twice:?}");
}

#[test]
fn improper_clients_get_an_error_or_a_close_and_proper_ones_their_answers() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = Node::with(&[upstream.addr]);
    let (addr, start) = (node.addr, Arc::new(Barrier::new(IMPROPER + PROPER)));
    thread::scope(|scope| {
        for n in 0..PROPER {
            let start = start.clone();
            scope.spawn(move || {
                start.wait();
                is_served(addr, n);
            });
        }
        for n in 0..IMPROPER {
            let (start, improper) = (start.clone(), Improper::nth(n));
            scope.spawn(move || {
                start.wait();
                let took = improper.play(addr);
                assert!(took < IMPROPER_MOST, "{improper:?} ended after {took:?}");
            });
        }
    });
    went_on_in_order(&upstream);
    let peak = peak_memory(&node);
    assert!(peak < MEMORY_MOST, "{peak} kB");
}

#[test]
fn a_client_that_sends_tens_of_megabytes_gets_an_error_or_a_close() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = Node::with(&[upstream.addr]);
    let floods = [
        Improper::Megabytes(FLOOD_MEGABYTES),
        Improper::MegabytesOfMethod(FLOOD_MEGABYTES),
        Improper::MegabytesOfBody(FLOOD_MEGABYTES),
    ];
    for flood in floods {
        let took = flood.play(node.addr);
        assert!(took < MEGABYTES_MOST, "{flood:?} ended after {took:?}");
    }
    let peak = peak_memory(&node);
    assert!(peak < MEMORY_MOST, "{peak} kB");
}

/// Clients with more answers than the system takes for them, of which they read none.
#[test]
fn clients_that_never_read_hold_up_neither_others_nor_the_end() {
    let large = "x".repeat(60 << 10);
    let upstream = Upstream::start(move |request| match request.header("req-id") {
        Some("unread") => ok(&large),
        _ => ok("x"),
    });
    let mut node = shuts_down_within(&upstream, 1000);
    let mut unreading: Vec<RawClient> = (0..UNREADING)
        .map(|_| RawClient::connect(node.addr, TEST_TIMEOUT))
        .collect();
    for client in &mut unreading {
        client.send(get("unread", "20000m").repeat(UNREAD_REQUESTS).as_bytes());
    }
    // Each has an answer by now, so that they are served.
    (0..UNREADING).for_each(|_| drop(upstream.request()));
    is_served(node.addr, 0);
    let peak = peak_memory(&node);
    assert!(peak < MEMORY_MOST, "{peak} kB");
    let signalled_at = Instant::now();
    node.terminate();
    assert_eq!(node.wait().code(), Some(0));
    // The longest deadline is taken as 3 s, and SIGKILL comes 0.7 s after it.
    assert!(
        signalled_at.elapsed() < Duration::from_millis(3700),
        "ended after {:?}",
        signalled_at.elapsed()
    );
}
