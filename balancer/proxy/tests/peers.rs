//! Several copies of one tier, with datagrams between them that go through this test, as the platform would carry
//! them: a copy sends to a peer's address and is heard at the peer as coming from its own.
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
/// Members are given up, and versions agreed on, seconds after there is reason to.
const LONG: Duration = Duration::from_secs(90);

/// The address of each copy as its peers see it, and where the copy listens that has it now.
struct Wire {
    peers: Vec<Arc<UdpSocket>>,
    replicas: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    /// The longest datagram that came.
    longest: Arc<AtomicUsize>,
}

impl Wire {
    fn start() -> Wire {
        let bind = |_| Arc::new(UdpSocket::bind("127.0.0.1:0").expect("binds"));
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
                    let known = replicas.lock().expect("no panic").clone();
                    let from = known.iter().position(|&at| at == Some(sender));
                    if let (Some(from), Some(at)) = (from, known[to]) {
                        // Where nobody listens any more it is lost.
                        let _ = peers[from].send_to(&bytes[..length], at);
                    }
                }
            });
        }
        Wire {
            peers,
            replicas,
            longest,
        }
    }

    fn addresses(&self) -> String {
        let address = |p: &Arc<UdpSocket>| format!("\"{}\"", p.local_addr().expect("an address"));
        self.peers.iter().map(address).collect::<Vec<_>>().join(",")
    }

    fn listens(&self, replica: usize) -> SocketAddr {
        self.replicas.lock().expect("no panic")[replica].expect("it listens")
    }
}

/// A configuration whose settings allow datagrams, of one of two zones.
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
    fn start(number: usize, wire: &Wire, upstream: &Upstream, more: &[&str]) -> Replica {
        let (dir, discovery) = (TempDir::new().expect("a folder"), Discovery::start());
        let mut command = command(&configuration(
            number,
            discovery.addr,
            upstream.addr,
            &wire.addresses(),
        ));
        let dir_option = format!("figures.dir={}", dir.path().display());
        command.arg("run");
        for option in ["peers.on=true", "figures.every=100ms", &dir_option]
            .iter()
            .chain(more)
        {
            command.args(["--set", option]);
        }
        let node = Node::run(command, discovery);
        let line = node
            .log()
            .into_iter()
            .find(|l| l.contains("listening on "))
            .expect("peers are on");
        let (_, rest) = line.split_once("listening on ").expect("an address");
        let at = rest.split(',').next().and_then(|at| at.parse().ok());
        wire.replicas.lock().expect("no panic")[number] = Some(at.expect("an address"));
        Replica { node, dir }
    }

    /// What its figures say of the tier.
    fn tier(&self) -> Value {
        metrics(&self.dir)["peers"].take()
    }

    fn serves(&self) {
        assert_eq!(self.node.client().call(&get("r", "20000m")).status(), 200);
    }
}

fn metrics(dir: &TempDir) -> Value {
    let text = std::fs::read(dir.path().join("figures.json")).unwrap_or_default();
    serde_json::from_slice(&text).unwrap_or_default()
}

/// Waits until the figures of all of these copies are as wanted.
fn all<'a>(
    replicas: impl IntoIterator<Item = &'a Replica>,
    what: &str,
    wanted: impl Fn(&Value) -> bool,
) {
    let (started, replicas) = (Instant::now(), Vec::from_iter(replicas));
    while !replicas.iter().all(|c| wanted(&c.tier())) {
        if started.elapsed() > LONG {
            let describe = |c: &&Replica| format!("{} {:?}\n", c.tier(), c.node.log());
            panic!(
                "{what}:\n{}",
                replicas.iter().map(describe).collect::<String>()
            );
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Sends garbage to each replica, from a stranger and from the addresses of peers.
fn send_garbage(wire: &Wire) {
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("binds");
    for n in 0..200usize {
        let length = [0, 1, 27, 64, 256, 257, 1400][n % 7];
        let bytes: Vec<u8> = (0..length).map(|i| (i * 31 + n * 17) as u8).collect();
        let headed = [b"oP\x01\x01\x02".as_slice(), &bytes].concat();
        let (to, from) = (n % REPLICAS, (n / REPLICAS) % REPLICAS);
        for bytes in [&bytes, &headed] {
            stranger.send_to(bytes, wire.listens(to)).expect("sends");
            wire.peers[from]
                .send_to(bytes, wire.listens(to))
                .expect("sends");
        }
    }
}

#[test]
fn a_tier_knows_its_members_and_uses_a_version_that_all_support() {
    let (wire, upstream) = (Wire::start(), Upstream::start(|_| ok("x")));
    let mut replicas: Vec<Replica> = (0..REPLICAS)
        .map(|n| Replica::start(n, &wire, &upstream, &[]))
        .collect();
    let all_known =
        |t: &Value| t["up"] == REPLICAS && t["joined"] == true && t["sums"]["heard"] == REPLICAS;
    all(&replicas, "all are there, and their sums", |t| {
        all_known(t) && t["version"] == 2
    });
    // A connection that one of them holds is known to each.
    let mut client = replicas[0].node.client();
    assert_eq!(client.call(&get("held", "20000m")).status(), 200);
    all(&replicas, "its connection", |t| {
        all_known(t)
            && t["sums"]["callers"]
                .as_f64()
                .is_some_and(|connections| (0.9..1.1).contains(&connections))
    });

    // Killed, it is missed, and comes back with nothing remembered.
    drop(replicas.pop());
    all(&replicas, "one is gone", |t| {
        t["up"] == REPLICAS - 1 && t["sums"]["heard"] == REPLICAS - 1
    });
    replicas.push(Replica::start(REPLICAS - 1, &wire, &upstream, &[]));
    all(&replicas, "it is back", all_known);

    send_garbage(&wire);
    all(&replicas, "garbage is counted and changes nothing", |t| {
        let dropped = |why: &str| t["dropped"][why].as_u64().unwrap_or(0);
        all_known(t) && dropped("unknown") >= 80 && dropped("long") >= 10 && dropped("broken") >= 10
    });
    replicas.iter().for_each(Replica::serves);

    // One that reads the first version alone takes the place of another, and ends.
    replicas[0].node.terminate();
    drop(replicas.remove(0));
    let before = replicas[0].tier()["epoch"].as_u64().expect("an epoch");
    let mut old = Replica::start(0, &wire, &upstream, &["peers.version_most=1"]);
    let first = |t: &Value| t["up"] == REPLICAS && t["version"] == 1 && t["sums"].is_null();
    all(
        replicas.iter().chain([&old]),
        "all speak the first version",
        first,
    );
    assert!(replicas
        .iter()
        .all(|c| c.tier()["epoch"].as_u64() > Some(before)));
    old.serves();
    old.node.terminate();
    assert!(old.node.wait().success());
    let fewer = |t: &Value| t["up"] == REPLICAS - 1 && t["version"] == 2;
    all(&replicas, "the others speak the second again", |t| {
        fewer(t) && t["sums"]["heard"] == REPLICAS - 1
    });
    replicas.iter().for_each(Replica::serves);
    assert!(wire.longest.load(Ordering::SeqCst) <= 256);
}

fn check_says(configuration: &str, wanted: &str) {
    let mut check = command(configuration);
    check
        .args(["check", "--set", "peers.on=true"])
        .stdout(Stdio::piped());
    let printed = check.output().expect("runs").stdout;
    let printed = String::from_utf8_lossy(&printed).into_owned();
    assert!(printed.contains(wanted), "{printed}");
}

#[test]
fn without_contact_to_peers_one_line_says_why_and_requests_are_served() {
    let upstream = Upstream::start(|_| ok("x"));
    let peers: Vec<String> = (1..=REPLICAS)
        .map(|n| format!("\"127.0.0.1:{n}\""))
        .collect();
    let peers = peers.join(",");
    for (from, to, wanted) in [
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
        let (dir, discovery) = (TempDir::new().expect("a folder"), Discovery::start());
        let text = configuration(0, discovery.addr, upstream.addr, &peers);
        assert!(text.contains(from), "{text}");
        let text = text.replace(from, to);
        if !to.contains("192") {
            check_says(&text, &format!("peers: off, {wanted}"));
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
        node.logs("continuing without it");
        assert_eq!(
            node.log()
                .iter()
                .filter(|l| l.contains("peers: ") && l.contains(wanted))
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
