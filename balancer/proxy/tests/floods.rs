//! Many misbehaving clients beside well-behaved ones, and clients that never read their responses: misbehaving clients
//! get an error or a close in time, the others their responses, and memory stays bounded.
mod common;
#[path = "common/raw_client.rs"]
mod raw_client;
#[path = "common/shutdown.rs"]
mod shutdown;
use common::*;
use raw_client::RawClient;
use shutdown::node_with_deadline;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

/// Time from connect within which a misbehaving client gets an error or a close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);
/// As `CLOSE_TIMEOUT`, for clients that send tens of megabytes.
const FLOOD_CLOSE_TIMEOUT: Duration = Duration::from_secs(6);
/// Memory limit of the configuration.
const MEMORY_LIMIT_KB: u64 = 192 << 10;
const MISBEHAVING_CLIENTS: usize = 200;
const WELL_BEHAVED_CLIENTS: usize = 8;
const REQUESTS_PER_CLIENT: usize = 50;
const MEGABYTE: usize = 1 << 20;
/// Size of the large floods.
const FLOOD_MEGABYTES: usize = 60;
/// Clients that never read, and the number of requests that each sends.
const NON_READING_CLIENTS: usize = 20;
const REQUESTS_PER_NON_READER: usize = 200;

/// What a misbehaving client sends.
#[derive(Clone, Copy, Debug)]
enum Misbehavior {
    SendNothing,
    Garbage,
    HalfHead,
    HalfBody,
    /// Megabytes that are invalid from the first byte on.
    InvalidBytes(usize),
    /// Megabytes that could be the start of a method name.
    LongMethod(usize),
    /// Megabytes of a body larger than allowed.
    LargeBody(usize),
}

impl Misbehavior {
    fn nth(n: usize) -> Misbehavior {
        match n % 10 {
            0 | 1 => Misbehavior::SendNothing,
            2 | 3 => Misbehavior::Garbage,
            4 | 5 => Misbehavior::HalfHead,
            6 => Misbehavior::HalfBody,
            7 => Misbehavior::InvalidBytes(2),
            8 => Misbehavior::LongMethod(2),
            _ => Misbehavior::LargeBody(2),
        }
    }

    fn send(self, client: &mut RawClient) {
        let (head, request) = (get("improper", "5000m"), pay("improper", "5000m"));
        match self {
            Misbehavior::SendNothing => {}
            Misbehavior::Garbage => client.send(b"\x16\x03\x01 improper\r\n\r\n"),
            Misbehavior::HalfHead => client.send(&head.as_bytes()[..head.len() / 2]),
            Misbehavior::HalfBody => client.send(&request.as_bytes()[..request.len() - 2]),
            Misbehavior::InvalidBytes(count) => drop(client.flood(&[0xff; MEGABYTE], count)),
            Misbehavior::LongMethod(count) => drop(client.flood(&[b'A'; MEGABYTE], count)),
            Misbehavior::LargeBody(count) => {
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

    /// Connects and sends this input. Returns how long the balancer took to close the connection.
    fn run(self, addr: SocketAddr) -> Duration {
        let mut client = RawClient::connect(addr, TEST_TIMEOUT);
        let connected = Instant::now();
        self.send(&mut client);
        let (bytes, _) = client.read_to_end();
        let took = connected.elapsed();
        let is_error = bytes.is_empty() || bytes.starts_with(b"HTTP/1.1 4");
        assert!(is_error, "{self:?}: {:?}", String::from_utf8_lossy(&bytes));
        took
    }
}

/// Peak resident memory of the process, in kB.
fn peak_memory(node: &Node) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", node.id())).expect("process status");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .expect("peak memory line");
    line.trim()
        .trim_end_matches(" kB")
        .parse()
        .expect("a number")
}

/// Runs a client that sends one request after another and must get one successful response to each.
fn assert_served(addr: SocketAddr, number: usize) {
    let mut client = Client::connect(addr).expect("connect");
    for n in 0..REQUESTS_PER_CLIENT {
        let id = format!("proper-{number}-{n}");
        let request = if n.is_multiple_of(2) {
            get(&id, "20000m")
        } else {
            pay(&id, "20000m")
        };
        assert_eq!(client.call(&request).status(), 200, "{id}");
    }
}

/// Checks that each well-behaved request was forwarded, exactly once where it must not be executed twice, and that no
/// misbehaving request was.
fn assert_forwarded_correctly(upstream: &Upstream) {
    let mut times_by_id: HashMap<String, usize> = HashMap::new();
    for seen in upstream.events.try_iter() {
        if let UpstreamEvent::Request(request) = seen {
            *times_by_id
                .entry(request.header("req-id").expect("a request id").to_string())
                .or_default() += 1;
        }
    }
    assert!(!times_by_id.contains_key("improper"));
    assert_eq!(
        times_by_id.len(),
        WELL_BEHAVED_CLIENTS * REQUESTS_PER_CLIENT
    );
    let is_payment = |id: &str| {
        id.rsplit('-')
            .next()
            .and_then(|n| n.parse::<usize>().ok())
            .is_some_and(|n| n % 2 == 1)
    };
    let not_once: Vec<_> = times_by_id
        .iter()
        .filter(|(id, times)| is_payment(id) && **times != 1)
        .collect();
    assert!(not_once.is_empty(), "{not_once:?}");
}

#[test]
fn misbehaving_clients_do_not_affect_well_behaved_ones() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = Node::with_upstreams(&[upstream.addr]);
    let (addr, start) = (
        node.addr,
        Arc::new(Barrier::new(MISBEHAVING_CLIENTS + WELL_BEHAVED_CLIENTS)),
    );
    thread::scope(|scope| {
        for n in 0..WELL_BEHAVED_CLIENTS {
            let start = start.clone();
            scope.spawn(move || {
                start.wait();
                assert_served(addr, n);
            });
        }
        for n in 0..MISBEHAVING_CLIENTS {
            let (start, misbehavior) = (start.clone(), Misbehavior::nth(n));
            scope.spawn(move || {
                start.wait();
                let took = misbehavior.run(addr);
                assert!(took < CLOSE_TIMEOUT, "{misbehavior:?} ended after {took:?}");
            });
        }
    });
    assert_forwarded_correctly(&upstream);
    let peak = peak_memory(&node);
    assert!(peak < MEMORY_LIMIT_KB, "{peak} kB");
}

#[test]
fn large_flood_gets_an_error_or_a_close() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = Node::with_upstreams(&[upstream.addr]);
    let floods = [
        Misbehavior::InvalidBytes(FLOOD_MEGABYTES),
        Misbehavior::LongMethod(FLOOD_MEGABYTES),
        Misbehavior::LargeBody(FLOOD_MEGABYTES),
    ];
    for flood in floods {
        let took = flood.run(node.addr);
        assert!(took < FLOOD_CLOSE_TIMEOUT, "{flood:?} ended after {took:?}");
    }
    let peak = peak_memory(&node);
    assert!(peak < MEMORY_LIMIT_KB, "{peak} kB");
}

/// Clients with more pending response data than the socket buffers hold, of which they read none.
#[test]
fn non_reading_clients_delay_neither_others_nor_shutdown() {
    let large = "x".repeat(60 << 10);
    let upstream = Upstream::start(move |request| match request.header("req-id") {
        Some("unread") => ok(&large),
        _ => ok("x"),
    });
    let mut node = node_with_deadline(&upstream, 1000);
    let mut non_readers: Vec<RawClient> = (0..NON_READING_CLIENTS)
        .map(|_| RawClient::connect(node.addr, TEST_TIMEOUT))
        .collect();
    for client in &mut non_readers {
        client.send(
            get("unread", "20000m")
                .repeat(REQUESTS_PER_NON_READER)
                .as_bytes(),
        );
    }
    // One request of each has reached the upstream, so all are being served.
    (0..NON_READING_CLIENTS).for_each(|_| drop(upstream.request()));
    assert_served(node.addr, 0);
    let peak = peak_memory(&node);
    assert!(peak < MEMORY_LIMIT_KB, "{peak} kB");
    let signalled_at = Instant::now();
    node.terminate();
    assert_eq!(node.wait().code(), Some(0));
    // At shutdown the longest deadline counts as 3 s, and SIGKILL follows 0.7 s after it.
    assert!(
        signalled_at.elapsed() < Duration::from_millis(3700),
        "ended after {:?}",
        signalled_at.elapsed()
    );
}
