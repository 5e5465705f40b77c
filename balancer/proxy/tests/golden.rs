//! What a balancer keeps on a disk and tells the other copies of its tier, word for word. A later build starts on the
//! folder that an earlier one has left, and during a rolling upgrade copies of both speak with each other: the texts, the
//! ids of upstreams and the fingerprints of settings must come out as they did.
//!
//! Not held here: the fingerprint that what was learned is kept with. It is made of the names in the program's own types.
mod common;
use balancer_core::{Availability, Endpoint, Health, Learned, Load, UpstreamId};
use balancer_gossip::{wire, Member as Place, VersionRange};
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

/// The fingerprint of the names in the settings of a balancer under test, with which a folder of its belongs to it.
const SETTINGS: u32 = 0x8503_1e0f;
/// The same as the copies of a tier of two know it, by which they tell other tiers' datagrams.
const DEPLOYMENT: u32 = 0x16e9_2415;
/// The ids of upstreams by their names.
const S_1: UpstreamId = UpstreamId(0x817c_da19_5c3f_bf24);
const S_2: UpstreamId = UpstreamId(0x817c_dd19_5c3f_c43d);
const S_3: UpstreamId = UpstreamId(0x817c_dc19_5c3f_c28a);

/// The number of a start beyond all that are made of the time: the one after it is the next.
const INCARNATION: u64 = 11_000_000_000_000_000_000;

/// As `learned.json` has it.
fn learned() -> Learned {
    let health = Health {
        slowness: 1.25,
        fails: 0.0625,
        outcomes: 31,
        last_used: 8901.5,
        ejected_until: 9101.25,
        lost_until: 9201.75,
        ejections: 2,
    };
    let load = Load {
        capacity: 101.25,
        recent: 52.5,
        peak: 63.75,
        served: 404.125,
        success: 0.9375,
        uncrowded: 0.875,
        unloaded: 12.5,
    };
    Learned {
        at: 9001.5,
        load,
        upstreams_max: 4.5,
        upstreams_usable: 0.75,
        answer: 13.5,
        deviation: 2.25,
        demands: vec![Some(70.5), None],
        kinds: [(0, (0.125, 801.0)), (3, (0.25, 902.5))].into(),
        rest_lost: vec![0.015625, 0.03125],
        upstreams: vec![(S_1, 6100.5, health), (S_2, 0.0, Health::default())],
    }
}

#[test]
fn what_was_learned_keeps_its_text() {
    assert_eq!(
        serde_json::to_string(&learned()).expect("JSON"),
        LEARNED.trim_end()
    );
    assert_eq!(
        serde_json::from_str::<Learned>(LEARNED).expect("is read"),
        learned()
    );
}

#[test]
fn a_list_is_read_with_the_ids_and_positions_it_had() {
    let listing = UPSTREAMS.trim_end().replace(
        "]}",
        r#",{"id":"s-2","addr":"127.0.0.1:10","zone":"a","kind":"m","cell":8,"state":"left","started_ms":3}]}"#,
    );
    let config = config("127.0.0.1:9".parse().expect("an address"), 1024, &listing);
    let known = balancer_proxy::config::Config::parse(config.as_bytes())
        .expect("is read")
        .known
        .expect("a list");
    assert_eq!((known.version, known.full), (5, true));
    let member = |id, zone, kind, group, availability, since| {
        let at = |name: &str, addr: &str| {
            (
                name.to_string(),
                addr.parse::<SocketAddr>().expect("an address"),
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
    let wanted = [
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
    assert_eq!(known.entries.len(), wanted.len());
    for (entry, (name, addr, (at, member))) in known.entries.iter().zip(wanted) {
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

/// Keeps payloads as an earlier build of the balancer under test would have.
fn persist(dir: &Path, payloads: &[(Kind, String)]) {
    let mut store = Store::open(dir, owner(), None).expect("opens").store;
    store.put(payloads, unix_ms()).expect("is written");
}

fn started(dir: &Path) -> Node {
    let discovery = Discovery::start();
    let mut command = command(&config(discovery.addr, 1024, "null"));
    command.args(["run", "--set", &format!("recovery.dir={}", dir.display())]);
    command.args(["--set", "recovery.every=100ms"]);
    command.args(["--set", "recovery.start_timeout=1m"]);
    Node::run(command, discovery)
}

/// The payload of a kind, once there is one as wanted; it must be of the balancer under test and of its settings.
fn persisted(dir: &Path, kind: Kind, wanted: impl Fn(&str) -> bool) -> String {
    let started = Instant::now();
    loop {
        // A folder that is read while it is written may make no sense for a moment.
        let line = inspect(dir)
            .ok()
            .and_then(|lines| lines.into_iter().find(|line| line.kind == kind));
        if let Some(Ok((record, owner))) = line.and_then(|line| line.found) {
            assert_eq!((owner.as_str(), record.settings), ("n1", SETTINGS));
            if wanted(&record.payload) {
                return record.payload;
            }
        }
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "{kind:?} is not kept as wanted"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_folder_of_an_earlier_build_is_read_and_written_in_its_format() {
    let dir = TempDir::new().expect("a folder");
    let list = UPSTREAMS.trim_end();
    let learned_record =
        |policy: &Value| format!(r#"{{"policy":{policy},"learned":{}}}"#, LEARNED.trim_end());
    persist(
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
    let node = started(dir.path());
    node.logs("recovery: start 8, a list of 2 upstreams");
    // The lesson was read, and then found to be of another policy.
    node.logs("no learned state: the settings have changed");
    assert!(node.discovery.called().starts_with("/api/targets?since=4&"));
    assert_eq!(
        persisted(dir.path(), Kind::Starts, |text| text.contains(":8,")),
        format!(r#"{{"count":8,"incarnation":{}}}"#, INCARNATION + 1)
    );
    // An upstream that has left is not kept; the list is, in the words that it had.
    node.discovery.answer(&listing(
        5,
        false,
        &[(2, ([127, 0, 0, 1], 10).into(), "left")],
    ));
    assert_eq!(
        persisted(dir.path(), Kind::Upstreams, |text| text.contains(":5,")),
        list
    );
    let text = persisted(dir.path(), Kind::Learned, |text| {
        !text.starts_with(r#"{"policy":0,"#)
    });
    drop(node);
    let value: Value = serde_json::from_str(&text).expect("JSON");
    let now: Learned = serde_json::from_value(value["learned"].clone()).expect("what was learned");
    let wanted = serde_json::to_string(&now).expect("JSON");
    assert_eq!(
        text,
        format!(r#"{{"policy":{},"learned":{wanted}}}"#, value["policy"])
    );
    // What an earlier build had learned under this policy is taken back.
    persist(
        dir.path(),
        &[(Kind::Learned, learned_record(&value["policy"]))],
    );
    started(dir.path()).logs("learned state from");
}

/// Version 0.1 kept how often it had started, and nothing else.
#[test]
fn a_folder_with_the_count_of_starts_alone_is_taken_up() {
    let dir = TempDir::new().expect("a folder");
    persist(dir.path(), &[(Kind::Starts, "7".into())]);
    started(dir.path()).logs("recovery: start 8");
}

#[test]
fn a_copy_tells_its_tier_by_the_fingerprint_it_had() {
    let bind = || UdpSocket::bind("127.0.0.1:0").expect("binds");
    let (peer, own) = (bind(), bind());
    peer.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time");
    let address = |socket: &UdpSocket| socket.local_addr().expect("an address");
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
    let (header, _) = wire::open(&bytes[..length]).expect("whole");
    assert_eq!((header.deployment, header.position), (DEPLOYMENT, Place(1)));
    assert_eq!(
        (header.version, header.supported_versions),
        (1, VersionRange { min: 1, max: 2 })
    );
}
