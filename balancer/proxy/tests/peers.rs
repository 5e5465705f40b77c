//! Several replicas of one tier that exchange datagrams through a relay in this test, as on the platform: a replica
//! sends to the address of a peer, and the peer sees the datagram as coming from the address of the sender.
mod common;
use common::*;
use serde_json::Value;
use std::net::{SocketAddr, UdpSocket};
use std::process::Stdio;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tempfile::TempDir;

const REPLICAS: usize = 5;
/// Removal of members and agreement on a version take seconds.
const TIER_TIMEOUT: Duration = Duration::from_secs(90);

/// Relays datagrams between replicas: the address of each replica as its peers see it, and the address at which the
/// replica listens.
struct DatagramRelay {
    peers: Vec<Arc<UdpSocket>>,
    replicas: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    /// The length of the longest datagram received.
    longest: Arc<AtomicUsize>,
}

impl DatagramRelay {
    fn start() -> DatagramRelay {
        let bind = |_| Arc::new(UdpSocket::bind("127.0.0.1:0").expect("bind"));
        let peers: Vec<_> = (0..REPLICAS).map(bind).collect();
        let (replicas, longest) = (
            Arc::new(Mutex::new(vec![None; REPLICAS])),
            Arc::new(AtomicUsize::new(0)),
        );
        for (to, socket) in peers.iter().cloned().enumerate() {
            let (peers, replicas, longest) = (peers.clone(), replicas.clone(), longest.clone());
            std::thread::spawn(move || {
                let mut bytes = [0; 2048];
                while let Ok((length, sender)) = socket.recv_from(&mut bytes) {
                    longest.fetch_max(length, Ordering::SeqCst);
                    let known = replicas.lock().expect("lock not poisoned").clone();
                    let from = known.iter().position(|&at| at == Some(sender));
                    if let (Some(from), Some(at)) = (from, known[to]) {
                        // A datagram to a stopped replica is lost.
                        let _ = peers[from].send_to(&bytes[..length], at);
                    }
                }
            });
        }
        DatagramRelay {
            peers,
            replicas,
            longest,
        }
    }

    fn addresses(&self) -> String {
        let address =
            |p: &Arc<UdpSocket>| format!("\"{}\"", p.local_addr().expect("socket address"));
        self.peers.iter().map(address).collect::<Vec<_>>().join(",")
    }

    fn listen_addr(&self, replica: usize) -> SocketAddr {
        self.replicas.lock().expect("lock not poisoned")[replica].expect("replica is listening")
    }
}

/// A configuration that allows peer datagrams, in one of two zones.
fn configuration(
    replica: usize,
    discovery: SocketAddr,
    upstream: SocketAddr,
    peers: &str,
) -> String {
    let known = listing(1, true, &[(0, upstream, "active")]);
    config(discovery, 1024, &known)
        .replace(
            "\"known\"",
            &format!("\"peer_listen\":\"127.0.0.1:0\",\"peers\":[{peers}],\"known\""),
        )
        .replace(
            "\"balancers\":1,\"index\":0",
            &format!(
                "\"balancers\":{REPLICAS},\"index\":{replica},\"zone\":{}",
                replica % 2
            ),
        )
        .replace("\"dcs\":[\"a\"]", "\"dcs\":[\"a\",\"b\"]")
        .replace("\"attempts_cap\"", "\"peers\":true,\"attempts_cap\"")
}

struct Replica {
    node: Node,
    dir: TempDir,
}

impl Replica {
    fn start(
        number: usize,
        relay: &DatagramRelay,
        upstream: &Upstream,
        extra_options: &[&str],
    ) -> Replica {
        let (dir, discovery) = (TempDir::new().expect("temp dir"), Discovery::start());
        let mut command = command(&configuration(
            number,
            discovery.addr,
            upstream.addr,
            &relay.addresses(),
        ));
        let dir_option = format!("figures.dir={}", dir.path().display());
        command.arg("run");
        for option in ["peers.on=true", "figures.every=100ms", &dir_option]
            .iter()
            .chain(extra_options)
        {
            command.args(["--set", option]);
        }
        let node = Node::run(command, discovery);
        let line = node
            .log()
            .into_iter()
            .find(|l| l.contains("listening on "))
            .expect("peer listener log line");
        let (_, rest) = line.split_once("listening on ").expect("socket address");
        let at = rest.split(',').next().and_then(|at| at.parse().ok());
        relay.replicas.lock().expect("lock not poisoned")[number] =
            Some(at.expect("socket address"));
        Replica { node, dir }
    }

    /// The peer section of its metrics.
    fn tier_metrics(&self) -> Value {
        metrics(&self.dir)["peers"].take()
    }

    fn assert_serves(&self) {
        assert_eq!(self.node.client().call(&get("r", "20000m")).status(), 200);
    }
}

fn metrics(dir: &TempDir) -> Value {
    let text = std::fs::read(dir.path().join("figures.json")).unwrap_or_default();
    serde_json::from_slice(&text).unwrap_or_default()
}

/// Waits until the metrics of all these replicas satisfy `expected`.
fn wait_for_all<'a>(
    replicas: impl IntoIterator<Item = &'a Replica>,
    what: &str,
    expected: impl Fn(&Value) -> bool,
) {
    let (started, replicas) = (Instant::now(), Vec::from_iter(replicas));
    while !replicas.iter().all(|c| expected(&c.tier_metrics())) {
        if started.elapsed() > TIER_TIMEOUT {
            let describe = |c: &&Replica| format!("{} {:?}\n", c.tier_metrics(), c.node.log());
            panic!(
                "{what}:\n{}",
                replicas.iter().map(describe).collect::<String>()
            );
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Sends invalid datagrams to each replica, from an unknown address and from the addresses of peers.
fn send_garbage(relay: &DatagramRelay) {
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("bind");
    for n in 0..200usize {
        let length = [0, 1, 27, 64, 256, 257, 1400][n % 7];
        let bytes: Vec<u8> = (0..length).map(|i| (i * 31 + n * 17) as u8).collect();
        let with_header = [b"oP\x01\x01\x02".as_slice(), &bytes].concat();
        let (to, from) = (n % REPLICAS, (n / REPLICAS) % REPLICAS);
        for bytes in [&bytes, &with_header] {
            unknown_sender
                .send_to(bytes, relay.listen_addr(to))
                .expect("send");
            relay.peers[from]
                .send_to(bytes, relay.listen_addr(to))
                .expect("send");
        }
    }
}

#[test]
fn tier_tracks_members_and_uses_a_common_version() {
    let (relay, upstream) = (DatagramRelay::start(), Upstream::start(|_| ok("x")));
    let mut replicas: Vec<Replica> = (0..REPLICAS)
        .map(|n| Replica::start(n, &relay, &upstream, &[]))
        .collect();
    let all_known =
        |t: &Value| t["up"] == REPLICAS && t["joined"] == true && t["sums"]["heard"] == REPLICAS;
    wait_for_all(&replicas, "all members and sums are known", |t| {
        all_known(t) && t["version"] == 2
    });
    // A client connection of one replica is counted at every replica.
    let mut client = replicas[0].node.client();
    assert_eq!(client.call(&get("held", "20000m")).status(), 200);
    wait_for_all(&replicas, "its client connection is counted", |t| {
        all_known(t)
            && t["sums"]["callers"]
                .as_f64()
                .is_some_and(|connections| (0.9..1.1).contains(&connections))
    });

    // A killed replica is noticed, and rejoins without its former state.
    drop(replicas.pop());
    wait_for_all(&replicas, "one member is removed", |t| {
        t["up"] == REPLICAS - 1 && t["sums"]["heard"] == REPLICAS - 1
    });
    replicas.push(Replica::start(REPLICAS - 1, &relay, &upstream, &[]));
    wait_for_all(&replicas, "it has rejoined", all_known);

    send_garbage(&relay);
    wait_for_all(&replicas, "invalid datagrams are only counted", |t| {
        let dropped = |why: &str| t["dropped"][why].as_u64().unwrap_or(0);
        all_known(t) && dropped("unknown") >= 80 && dropped("long") >= 10 && dropped("broken") >= 10
    });
    replicas.iter().for_each(Replica::assert_serves);

    // A replica that supports version 1 only replaces another one, and is then shut down.
    replicas[0].node.terminate();
    drop(replicas.remove(0));
    let before = replicas[0].tier_metrics()["epoch"]
        .as_u64()
        .expect("an epoch");
    let mut old = Replica::start(0, &relay, &upstream, &["peers.version_most=1"]);
    let uses_version_1 =
        |t: &Value| t["up"] == REPLICAS && t["version"] == 1 && t["sums"].is_null();
    wait_for_all(
        replicas.iter().chain([&old]),
        "all use version 1",
        uses_version_1,
    );
    assert!(replicas
        .iter()
        .all(|c| c.tier_metrics()["epoch"].as_u64() > Some(before)));
    old.assert_serves();
    old.node.terminate();
    assert!(old.node.wait().success());
    let without_old_replica = |t: &Value| t["up"] == REPLICAS - 1 && t["version"] == 2;
    wait_for_all(&replicas, "the others use version 2 again", |t| {
        without_old_replica(t) && t["sums"]["heard"] == REPLICAS - 1
    });
    replicas.iter().for_each(Replica::assert_serves);
    assert!(relay.longest.load(Ordering::SeqCst) <= 256);
}

fn assert_check_prints(configuration: &str, expected: &str) {
    let mut check = command(configuration);
    check
        .args(["check", "--set", "peers.on=true"])
        .stdout(Stdio::piped());
    let printed = check.output().expect("run the program").stdout;
    let printed = String::from_utf8_lossy(&printed).into_owned();
    assert!(printed.contains(expected), "{printed}");
}

#[test]
fn unusable_peer_settings_are_reported_and_requests_served() {
    let upstream = Upstream::start(|_| ok("x"));
    let peers: Vec<String> = (1..=REPLICAS)
        .map(|n| format!("\"127.0.0.1:{n}\""))
        .collect();
    let peers = peers.join(",");
    for (from, to, expected) in [
        (
            "\"peers\":true,",
            "",
            "settings.permissions.peers: datagrams are not allowed",
        ),
        (
            "\"127.0.0.1:2\"",
            "\"127.0.0.1\"",
            "peers[1]: \"127.0.0.1\" is not an IPv4 address and port",
        ),
        (
            "\"peer_listen\":\"127.0.0.1:0\",",
            "",
            "peer_listen: missing",
        ),
        (
            "\"peer_listen\":\"127.0.0.1:0\"",
            "\"peer_listen\":\"192.0.2.1:9\"",
            "peer_listen: 192.0.2.1:9: ",
        ),
    ] {
        let (dir, discovery) = (TempDir::new().expect("temp dir"), Discovery::start());
        let text = configuration(0, discovery.addr, upstream.addr, &peers);
        assert!(text.contains(from), "{text}");
        let text = text.replace(from, to);
        if !to.contains("192") {
            assert_check_prints(&text, &format!("peers: off, {expected}"));
        }
        let mut run = command(&text);
        run.args([
            "run",
            "--set",
            "peers.on=true",
            "--set",
            "figures.every=100ms",
            "--set",
        ]);
        run.arg(format!("figures.dir={}", dir.path().display()));
        let node = Node::run(run, discovery);
        assert_eq!(node.client().call(&get("r", "20000m")).status(), 200);
        node.wait_for_log("continuing without it");
        assert_eq!(
            node.log()
                .iter()
                .filter(|l| l.contains("peers: ") && l.contains(expected))
                .count(),
            1
        );
        let started = Instant::now();
        while metrics(&dir)["requests"] != 1 {
            assert!(started.elapsed() < TEST_TIMEOUT, "{}", metrics(&dir));
        }
        assert!(metrics(&dir).get("peers").is_none());
    }
}
