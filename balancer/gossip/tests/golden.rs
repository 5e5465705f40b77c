//! Every datagram's bytes as they are. During a rolling upgrade replicas of two builds speak with each other, so that a
//! build must write and read what the one before it did, or take a new version of the protocol.
#[path = "../../core/tests/common/golden.rs"]
mod golden;

use balancer_gossip::wire::v1::{
    About, Echo, Head, Kind, Reads, Record, Stance, Status, Verdict, View,
};
use balancer_gossip::wire::v2::{Figure, Rest, Row, Totals};
use balancer_gossip::wire::{open, seal, v1, v2, Header, PAYLOAD};
use balancer_gossip::{Config, Member, Peers, Subject, Versions, READS};
use golden::{assert_stored, stored};

const DATAGRAMS: &str = include_str!("golden/datagrams.hex");
const FIGURES: &str = include_str!("golden/figures.hex");

const DEPLOYMENT: u32 = 0xdeb0_1e57;
const KINDS: [(&str, Kind); 5] = [
    ("ping", Kind::Ping),
    ("ack", Kind::Ack),
    ("ping_request", Kind::PingRequest),
    ("indirect_ack", Kind::IndirectAck),
    ("gossip", Kind::Gossip),
];
const STATUSES: [Status; 4] = [Status::Up, Status::Suspect, Status::Gone, Status::Left];

fn header(version: u8, n: u16) -> Header {
    Header {
        version,
        reads: Versions { least: 1, most: 2 },
        place: Member(258 + n),
        incarnation: 0x1112_1314_1516_1718 + u64::from(n),
        deployment: DEPLOYMENT,
        epoch: 0x2122_2324_2526_2728 + u64::from(n),
    }
}

/// An update on a member for the `n`th datagram, and one more with the next status.
fn records(n: u16) -> Vec<Record> {
    let record = |at: u16| Record {
        member: 300 + at,
        incarnation: 0x3132_3334 << at,
        status: STATUSES[usize::from(at) % STATUSES.len()],
        reads: Reads {
            least: 3 + at as u8,
            most: 4 + at as u8,
        },
        age: 200 + at as u8,
    };
    vec![record(n), record(n + 1)]
}

/// Verdicts on both subjects with both stances, by turns.
fn verdicts(n: u16) -> Vec<Verdict> {
    let (first, second) = match n % 2 {
        0 => (Stance::Against, Stance::Cleared),
        _ => (Stance::Cleared, Stance::Against),
    };
    let verdict = |subject, stance, at| Verdict {
        subject,
        observer: 400 + at,
        zone: 500 + at,
        sequence: 600 + at,
        stance,
        age: 30 + at as u8,
    };
    let upstream = Subject::Upstream(0xf1f2_f3f4_f5f6_f7f8);
    vec![
        verdict(upstream, first, n),
        verdict(Subject::Zone(700 + n), second, n + 10),
    ]
}

/// A payload of version 1 with all its parts. An echo is there in every other one, a third member in those about one.
fn first(n: u16, kind: Kind) -> v1::Body {
    let about = matches!(kind, Kind::PingRequest | Kind::IndirectAck);
    let at = u32::from(n);
    let head = Head {
        kind,
        stamp: 0x4142_4344 + at,
        echo: (n % 2 == 1).then_some(Echo {
            stamp: 0x5152_5354 + at,
            held: 0x6162 + at,
        }),
        about: about.then_some(About {
            member: 800 + n,
            age: 40 + n as u8,
        }),
        lost: 900 + n,
    };
    let reads = Reads {
        least: 5 + n as u8,
        most: 6 + n as u8,
    };
    let view = View {
        base: 1000 + n,
        reads,
        bits: vec![0xa5, 0x5a + n as u8],
        others: vec![0x81],
    };
    v1::Body {
        head,
        view,
        records: records(n),
        verdicts: verdicts(n),
    }
}

/// A payload of version 2 with all its parts. The rest is there in every other one.
fn second(n: u16, kind: Kind) -> v2::Body {
    let figure = |value: u16| Figure::of(f64::from(value) + 0.5);
    let totals = |at: u16| Totals {
        owner: 1100 + at,
        age: 50 + at as u8,
        figures: [1, 2, 3, 4].map(figure),
    };
    let rest = Rest {
        age: 60 + n as u8,
        figures: [5, 6, 7].map(figure),
    };
    let row = |at: u16| Row {
        tenant: 1200 + at,
        figures: [8, 9, 10].map(figure),
    };
    v2::Body {
        first: first(n, kind),
        rest: n.is_multiple_of(2).then_some(rest),
        rows: vec![row(n), row(n + 1)],
        totals: vec![totals(n), totals(n + 1)],
    }
}

/// The shortest payload: neither view nor lists.
fn bare() -> v2::Body {
    let head = Head {
        kind: Kind::Ping,
        stamp: 1,
        echo: None,
        about: None,
        lost: 0,
    };
    let first = v1::Body {
        head,
        view: View::default(),
        records: Vec::new(),
        verdicts: Vec::new(),
    };
    v2::Body {
        first,
        rest: None,
        rows: Vec::new(),
        totals: Vec::new(),
    }
}

/// What each stored datagram holds, by its name; of version 1 the part that this version has.
fn datagrams() -> Vec<(String, Header, v2::Body)> {
    let mut all = Vec::new();
    for version in [1, 2] {
        all.push((format!("v{version}_bare"), header(version, 0), bare()));
        for (n, (name, kind)) in (1..).zip(KINDS) {
            all.push((
                format!("v{version}_{name}"),
                header(version, n),
                second(n, kind),
            ));
        }
    }
    all
}

fn write(header: &Header, mut body: v2::Body) -> Vec<u8> {
    let payload = match header.version {
        1 => v1::write(&mut body.first, PAYLOAD),
        _ => v2::write(&mut body, PAYLOAD),
    };
    seal(header, &payload)
}

#[test]
fn every_datagram_is_written_as_it_was() {
    let made: Vec<_> = datagrams()
        .into_iter()
        .map(|(name, header, body)| (name, write(&header, body)))
        .collect();
    assert_stored(DATAGRAMS, &made);
}

#[test]
fn every_datagram_is_read_as_it_was_meant() {
    let stored = stored(DATAGRAMS);
    assert_eq!(stored.len(), datagrams().len());
    for ((name, bytes), (_, header, body)) in stored.iter().zip(datagrams()) {
        let (read, payload) = open(bytes).unwrap_or_else(|e| panic!("{name}: {e:?}"));
        assert_eq!(read, header, "{name}");
        match header.version {
            1 => assert_eq!(v1::read(payload), Ok(body.first), "{name}"),
            _ => assert_eq!(v2::read(payload), Ok(body), "{name}"),
        }
    }
}

/// Whatever version comes after, its header has to be read by a replica of this one.
#[test]
fn a_header_of_a_later_version_is_read() {
    let later = Header {
        version: 9,
        reads: Versions { least: 2, most: 11 },
        ..header(9, 7)
    };
    let bytes = seal(&later, b"unknown");
    let stored = stored(include_str!("golden/later.hex"));
    assert_eq!(stored, [("v9", bytes)]);
    assert_eq!(open(&stored[0].1), Ok((later, &b"unknown"[..])));
}

#[test]
fn a_replica_takes_every_stored_datagram() {
    let config = Config {
        own: Member(1),
        candidates: 2000,
        incarnation: 3,
        seed: 4,
        zone: 5,
        tenants: 1300,
        deployment: DEPLOYMENT,
        reads: READS,
    };
    for (name, bytes) in stored(DATAGRAMS) {
        let mut peers = Peers::new(config.clone(), 0.0).expect("a configuration");
        let (header, _) = open(&bytes).expect("whole");
        peers.datagram(1.0, header.place, &bytes);
        let counts = peers.counts();
        assert_eq!(
            (counts.read, counts.broken, counts.foreign),
            (1, 0, 0),
            "{name}"
        );
    }
}

/// A figure's rounding and its bounds: what is no figure is nothing, what is too large the largest. Beside each the bits
/// that it is written in, which are the upper half of a `f32`.
#[test]
fn figures_are_written_and_read_as_they_were() {
    let figures = [
        ("third", 1.0 / 3.0, 0x3eab),
        ("million", 1e6, 0x4974),
        ("tiny", 1e-30, 0x0da2),
        ("negative", -1.0, 0),
        ("not_a_number", f64::NAN, 0),
        ("infinite", f64::INFINITY, 0),
        ("largest", 1e300, 0x7f7f),
    ];
    let row = |value| Row {
        tenant: 1,
        figures: [Figure::of(value), Figure::of(1.0), Figure::of(2.0)],
    };
    let write = |value| {
        v2::write(
            &mut v2::Body {
                rows: vec![row(value)],
                ..bare()
            },
            PAYLOAD,
        )
    };
    let made: Vec<_> = figures
        .iter()
        .map(|(name, value, _)| (name.to_string(), write(*value)))
        .collect();
    assert_stored(FIGURES, &made);
    for ((name, bytes), (_, _, bits)) in stored(FIGURES).into_iter().zip(figures) {
        let read = v2::read(&bytes).expect("a payload").rows[0].figures[0].value();
        assert_eq!(read, f64::from(f32::from_bits(bits << 16)), "{name}");
    }
}

#[test]
fn ages_are_rounded_up_to_ticks() {
    let ages = [
        (-1.0, Some(0)),
        (0.0, Some(0)),
        (20.0, Some(1)),
        (20.1, Some(2)),
        (5080.0, Some(254)),
    ];
    for (age, ticks) in ages {
        assert_eq!(v1::ticks(age), ticks, "{age}");
    }
    assert_eq!(v1::ticks(5080.1), None);
}
