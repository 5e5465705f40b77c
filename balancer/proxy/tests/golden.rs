//! The exact formats that a balancer writes to disk and sends to the other replicas of its tier. A later build starts
//! on the state directory of an earlier one, and during a rolling upgrade replicas of both exchange datagrams: texts,
//! upstream ids and settings fingerprints must not change.
//!
//! Not covered: the fingerprint stored with learned state, which is computed from type names of the program.
mod common;
use balancer_core::{Availability, Endpoint, Health, Learned, Load, UpstreamId};
use balancer_gossip::{wire, Member as ReplicaIndex, VersionRange};
use balancer_snapshots::store::inspect;
use balancer_snapshots::{unix_ms, Kind, Owner, Store};
use common::*;
use serde_json::Value;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const LEARNED: &str = include_str!("golden/learned.json");
const UPSTREAMS: &str = include_str!("golden/upstreams.json");

/// Fingerprint of the names in the settings under test, stored in the state directory to show whose it is.
const SETTINGS: u32 = 0x8503_1e0f;
/// Fingerprint of the deployment as replicas of a tier of two send it, by which they recognise datagrams of other
/// tiers.
const DEPLOYMENT: u32 = 0x16e9_2415;
/// Upstream ids, derived from their names.
const S_1: UpstreamId = UpstreamId(0x817c_da19_5c3f_bf24);
const S_2: UpstreamId = UpstreamId(0x817c_dd19_5c3f_c43d);
const S_3: UpstreamId = UpstreamId(0x817c_dc19_5c3f_c28a);

/// An incarnation larger than any derived from the clock, so that the next start adds one to it.
const INCARNATION: u64 = 11_000_000_000_000_000_000;

/// The state in `learned.json`.
fn learned() -> Learned {
    let health = Health {
        slowness: 1.25,
        failure_rate: 0.0625,
        outcomes: 31,
        last_used: 8901.5,
        ejected_until: 9101.25,
        lost_until: 9201.75,
        ejections: 2,
    };
    let load = Load {
        capacity: 101.25,
        admitted_mean: 52.5,
        admitted_peak: 63.75,
        served_rate: 404.125,
        on_time_fraction: 0.9375,
        floor_fraction: 0.875,
        unloaded_response_time: 12.5,
    };
    Learned {
        saved_at: 9001.5,
        load,
        upstreams_max: 4.5,
        upstreams_usable: 0.75,
        mean_response_time: 13.5,
        deviation: 2.25,
        demands: vec![Some(70.5), None],
        kinds: [(0, (0.125, 801.0)), (3, (0.25, 902.5))].into(),
        idle_loss_rates: vec![0.015625, 0.03125],
        upstreams: vec![(S_1, 6100.5, health), (S_2, 0.0, Health::default())],
    }
}

#[test]
fn learned_state_keeps_its_json_format() {
    assert_eq!(
        serde_json::to_string(&learned()).expect("JSON"),
        LEARNED.trim_end()
    );
    assert_eq!(
        serde_json::from_str::<Learned>(LEARNED).expect("parsed"),
        learned()
    );
}

#[test]
fn list_keeps_its_upstream_ids_and_positions() {
    let listing = UPSTREAMS.trim_end().replace(
        "]}",
        r#",{"id":"s-2","addr":"127.0.0.1:10","zone":"a","kind":"m","cell":8,"state":"left","started_ms":3}]}"#,
    );
    let config = config(
        "127.0.0.1:9".parse().expect("socket address"),
        1024,
        &listing,
    );
    let known = balancer_proxy::config::Config::parse(config.as_bytes())
        .expect("parsed")
        .known
        .expect("a list");
    assert_eq!((known.version, known.full), (5, true));
    let member = |id, zone, kind, group, availability, since| {
        let at = |name: &str, addr: &str| {
            (
                name.to_string(),
                addr.parse::<SocketAddr>().expect("socket address"),
            )
        };
        (
            at,
            Endpoint {
                id,
                zone,
                kind,
                group,
                availability,
                since,
            },
        )
    };
    let expected = [
        (
            "s-1",
            "127.0.0.1:9",
            member(S_1, 0, 0, 7, Availability::Ready, 6100.5),
        ),
        (
            "s-3",
            "[::1]:11",
            member(S_3, u16::MAX, u8::MAX, 0, Availability::Draining, 0.0),
        ),
        (
            "s-2",
            "127.0.0.1:10",
            member(S_2, 0, 0, 8, Availability::Removed, 3.0),
        ),
    ];
    assert_eq!(known.entries.len(), expected.len());
    for (entry, (name, addr, (at, member))) in known.entries.iter().zip(expected) {
        assert_eq!(
            ((entry.name.clone(), entry.addr), &entry.endpoint),
            (at(name, addr), &member)
        );
    }
}

fn owner() -> Owner {
    Owner {
        name: "n1".into(),
        settings: SETTINGS,
    }
}

/// Writes payloads as an earlier build of the balancer under test would have.
fn write_state(dir: &Path, payloads: &[(Kind, String)]) {
    let mut store = Store::open(dir, owner(), None).expect("open").store;
    store.put(payloads, unix_ms()).expect("write state");
}

fn start_in(dir: &Path) -> Node {
    let discovery = Discovery::start();
    let mut command = command(&config(discovery.addr, 1024, "null"));
    command.args(["run", "--set", &format!("recovery.dir={}", dir.display())]);
    command.args(["--set", "recovery.every=100ms"]);
    command.args(["--set", "recovery.start_timeout=1m"]);
    Node::run(command, discovery)
}

/// Waits for a payload of this kind that satisfies `expected` and returns it; it must belong to the balancer under
/// test and its settings.
fn wait_for_state(dir: &Path, kind: Kind, expected: impl Fn(&str) -> bool) -> String {
    let began = Instant::now();
    loop {
        // Reading the directory during a write may fail for a moment.
        let line = inspect(dir)
            .ok()
            .and_then(|lines| lines.into_iter().find(|line| line.kind == kind));
        if let Some(Ok((record, owner))) = line.and_then(|line| line.found) {
            assert_eq!((owner.as_str(), record.settings), ("n1", SETTINGS));
            if expected(&record.payload) {
                return record.payload;
            }
        }
        assert!(
            began.elapsed() < TEST_TIMEOUT,
            "no {kind:?} record as expected"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn state_directory_of_earlier_build_keeps_its_format() {
    let dir = TempDir::new().expect("temp dir");
    let list = UPSTREAMS.trim_end();
    let learned_record =
        |policy: &Value| format!(r#"{{"policy":{policy},"learned":{}}}"#, LEARNED.trim_end());
    write_state(
        dir.path(),
        &[
            (
                Kind::Starts,
                format!(r#"{{"count":7,"incarnation":{INCARNATION}}}"#),
            ),
            (
                Kind::Upstreams,
                list.replace(r#""version":5"#, r#""version":4"#),
            ),
            (Kind::Learned, learned_record(&Value::from(0))),
        ],
    );
    let node = start_in(dir.path());
    node.wait_for_log("recovery: start 8, a list of 2 upstreams");
    // The learned state was read, and then found to belong to another policy.
    node.wait_for_log("no learned state: the settings have changed");
    assert!(node
        .discovery
        .next_call_path()
        .starts_with("/api/targets?since=4&"));
    assert_eq!(
        wait_for_state(dir.path(), Kind::Starts, |text| text.contains(":8,")),
        format!(r#"{{"count":8,"incarnation":{}}}"#, INCARNATION + 1)
    );
    // A removed upstream is not stored; the list is stored with its earlier text.
    node.discovery.respond(&listing(
        5,
        false,
        &[(2, ([127, 0, 0, 1], 10).into(), "left")],
    ));
    assert_eq!(
        wait_for_state(dir.path(), Kind::Upstreams, |text| text.contains(":5,")),
        list
    );
    let text = wait_for_state(dir.path(), Kind::Learned, |text| {
        !text.starts_with(r#"{"policy":0,"#)
    });
    drop(node);
    let value: Value = serde_json::from_str(&text).expect("JSON");
    let now: Learned = serde_json::from_value(value["learned"].clone()).expect("learned state");
    let expected = serde_json::to_string(&now).expect("JSON");
    assert_eq!(
        text,
        format!(r#"{{"policy":{},"learned":{expected}}}"#, value["policy"])
    );
    // Learned state that an earlier build stored under this policy is restored.
    write_state(
        dir.path(),
        &[(Kind::Learned, learned_record(&value["policy"]))],
    );
    start_in(dir.path()).wait_for_log("learned state from");
}

/// Version 0.1 stored the number of starts only.
#[test]
fn state_with_only_a_start_count_is_accepted() {
    let dir = TempDir::new().expect("temp dir");
    write_state(dir.path(), &[(Kind::Starts, "7".into())]);
    start_in(dir.path()).wait_for_log("recovery: start 8");
}

#[test]
fn replica_keeps_its_deployment_fingerprint() {
    let bind = || UdpSocket::bind("127.0.0.1:0").expect("bind");
    let (peer, own) = (bind(), bind());
    peer.set_read_timeout(Some(TEST_TIMEOUT))
        .expect("set timeout");
    let address = |socket: &UdpSocket| socket.local_addr().expect("socket address");
    let discovery = Discovery::start();
    let peers = format!(
        r#""peer_listen":"127.0.0.1:0","peers":["{}","{}"],"known""#,
        address(&peer),
        address(&own)
    );
    let config = config(discovery.addr, 1024, "null")
        .replace("\"known\"", &peers)
        .replace("\"balancers\":1,\"index\":0", "\"balancers\":2,\"index\":1")
        .replace("\"attempts_cap\"", "\"peers\":true,\"attempts_cap\"");
    let mut command = command(&config);
    command.args(["run", "--set", "peers.on=true"]);
    let node = Node::run(command, discovery);
    let mut bytes = [0; 2048];
    let (length, _) = peer.recv_from(&mut bytes).expect("a datagram");
    drop(node);
    let (header, _) = wire::open(&bytes[..length]).expect("valid datagram");
    assert_eq!(
        (header.deployment, header.position),
        (DEPLOYMENT, ReplicaIndex(1))
    );
    assert_eq!(
        (header.version, header.supported_versions),
        (1, VersionRange { min: 1, max: 2 })
    );
}
