//! Golden bytes of datagrams. During a rolling upgrade replicas of two builds communicate, so a build must encode and
//! decode datagrams as the previous one did, or introduce a new protocol version.
#[path = "../../core/tests/common/golden.rs"]
mod golden;

use balancer_gossip::wire::v1::{
    Echo, Head, MemberUpdate, MembershipDigest, MessageKind, ProbeTarget, Status,
    SupportedVersions, Verdict, VerdictState,
};
use balancer_gossip::wire::v2::{CompactFloat, TenantRow, Totals, UnnamedTenants};
use balancer_gossip::wire::{open, seal, v1, v2, Header, MAX_PAYLOAD_LEN};
use balancer_gossip::{Config, Member, Peers, Subject, VersionRange, SUPPORTED_VERSIONS};
use golden::{assert_stored, stored};

const DATAGRAMS: &str = include_str!("golden/datagrams.hex");
const COMPACT_FLOATS: &str = include_str!("golden/compact_floats.hex");

const DEPLOYMENT: u32 = 0xdeb0_1e57;
const KINDS: [(&str, MessageKind); 5] = [
    ("ping", MessageKind::Ping),
    ("ack", MessageKind::Ack),
    ("ping_request", MessageKind::PingRequest),
    ("indirect_ack", MessageKind::IndirectAck),
    ("gossip", MessageKind::Gossip),
];
const STATUSES: [Status; 4] = [Status::Up, Status::Suspect, Status::Failed, Status::Left];

fn header(version: u8, n: u16) -> Header {
    Header {
        version,
        supported_versions: VersionRange { min: 1, max: 2 },
        position: Member(258 + n),
        incarnation: 0x1112_1314_1516_1718 + u64::from(n),
        deployment: DEPLOYMENT,
        epoch: 0x2122_2324_2526_2728 + u64::from(n),
    }
}

/// An update on a member for the `n`th datagram, and one more with the next status.
fn updates(n: u16) -> Vec<MemberUpdate> {
    let update = |at: u16| MemberUpdate {
        member: 300 + at,
        incarnation: 0x3132_3334 << at,
        status: STATUSES[usize::from(at) % STATUSES.len()],
        supported_versions: SupportedVersions {
            min: 3 + at as u8,
            max: 4 + at as u8,
        },
        age: 200 + at as u8,
    };
    vec![update(n), update(n + 1)]
}

/// Verdicts on both kinds of subject; the states alternate with `n`.
fn verdicts(n: u16) -> Vec<Verdict> {
    let (first, second) = match n % 2 {
        0 => (VerdictState::Against, VerdictState::Cleared),
        _ => (VerdictState::Cleared, VerdictState::Against),
    };
    let verdict = |subject, state, at| Verdict {
        subject,
        observer: 400 + at,
        zone: 500 + at,
        sequence: 600 + at,
        state,
        age: 30 + at as u8,
    };
    let upstream = Subject::Upstream(0xf1f2_f3f4_f5f6_f7f8);
    vec![
        verdict(upstream, first, n),
        verdict(Subject::Zone(700 + n), second, n + 10),
    ]
}

/// A payload of version 1 with all lists. Every other one has an echo; those of indirect probes have a target.
fn version_1(n: u16, kind: MessageKind) -> v1::Body {
    let target = matches!(kind, MessageKind::PingRequest | MessageKind::IndirectAck);
    let at = u32::from(n);
    let head = Head {
        kind,
        stamp: 0x4142_4344 + at,
        echo: (n % 2 == 1).then_some(Echo {
            stamp: 0x5152_5354 + at,
            delay: 0x6162 + at,
        }),
        target: target.then_some(ProbeTarget {
            member: 800 + n,
            age: 40 + n as u8,
        }),
        recent_failures: 900 + n,
    };
    let supported_versions = SupportedVersions {
        min: 5 + n as u8,
        max: 6 + n as u8,
    };
    let digest = MembershipDigest {
        base: 1000 + n,
        supported_versions,
        bits: vec![0xa5, 0x5a + n as u8],
        others: vec![0x81],
    };
    v1::Body {
        head,
        digest,
        updates: updates(n),
        verdicts: verdicts(n),
    }
}

/// A payload of version 2 with all lists. Every other one has unnamed tenants.
fn version_2(n: u16, kind: MessageKind) -> v2::Body {
    let compact = |value: u16| CompactFloat::of(f64::from(value) + 0.5);
    let totals = |at: u16| Totals {
        owner: 1100 + at,
        age: 50 + at as u8,
        values: [1, 2, 3, 4].map(compact),
    };
    let unnamed_tenants = UnnamedTenants {
        age: 60 + n as u8,
        values: [5, 6, 7].map(compact),
    };
    let row = |at: u16| TenantRow {
        tenant: 1200 + at,
        values: [8, 9, 10].map(compact),
    };
    v2::Body {
        version_1: version_1(n, kind),
        unnamed_tenants: n.is_multiple_of(2).then_some(unnamed_tenants),
        rows: vec![row(n), row(n + 1)],
        totals: vec![totals(n), totals(n + 1)],
    }
}

/// The shortest payload, with an empty digest and empty lists.
fn empty_body() -> v2::Body {
    let head = Head {
        kind: MessageKind::Ping,
        stamp: 1,
        echo: None,
        target: None,
        recent_failures: 0,
    };
    let version_1 = v1::Body {
        head,
        digest: MembershipDigest::default(),
        updates: Vec::new(),
        verdicts: Vec::new(),
    };
    v2::Body {
        version_1,
        unnamed_tenants: None,
        rows: Vec::new(),
        totals: Vec::new(),
    }
}

/// The name and the decoded content of each golden datagram. Version 1 encodes only its part of the body.
fn datagrams() -> Vec<(String, Header, v2::Body)> {
    let mut all = Vec::new();
    for version in [1, 2] {
        all.push((format!("v{version}_bare"), header(version, 0), empty_body()));
        for (n, (name, kind)) in (1..).zip(KINDS) {
            all.push((
                format!("v{version}_{name}"),
                header(version, n),
                version_2(n, kind),
            ));
        }
    }
    all
}

fn encode(header: &Header, mut body: v2::Body) -> Vec<u8> {
    let payload = match header.version {
        1 => v1::encode(&mut body.version_1, MAX_PAYLOAD_LEN),
        _ => v2::encode(&mut body, MAX_PAYLOAD_LEN),
    };
    seal(header, &payload)
}

#[test]
fn datagram_encodings_match_golden_bytes() {
    let encoded: Vec<_> = datagrams()
        .into_iter()
        .map(|(name, header, body)| (name, encode(&header, body)))
        .collect();
    assert_stored(DATAGRAMS, &encoded);
}

#[test]
fn golden_datagrams_decode_to_their_values() {
    let stored = stored(DATAGRAMS);
    assert_eq!(stored.len(), datagrams().len());
    for ((name, bytes), (_, header, body)) in stored.iter().zip(datagrams()) {
        let (decoded_header, payload) = open(bytes).unwrap_or_else(|e| panic!("{name}: {e:?}"));
        assert_eq!(decoded_header, header, "{name}");
        match header.version {
            1 => assert_eq!(v1::decode(payload), Ok(body.version_1), "{name}"),
            _ => assert_eq!(v2::decode(payload), Ok(body), "{name}"),
        }
    }
}

/// A replica of this version must be able to decode the header of any later version.
#[test]
fn header_of_a_later_version_is_decoded() {
    let later = Header {
        version: 9,
        supported_versions: VersionRange { min: 2, max: 11 },
        ..header(9, 7)
    };
    let bytes = seal(&later, b"unknown");
    let stored = stored(include_str!("golden/later.hex"));
    assert_eq!(stored, [("v9", bytes)]);
    assert_eq!(open(&stored[0].1), Ok((later, &b"unknown"[..])));
}

#[test]
fn replica_accepts_every_golden_datagram() {
    let config = Config {
        own: Member(1),
        candidates: 2000,
        incarnation: 3,
        seed: 4,
        zone: 5,
        tenants: 1300,
        deployment: DEPLOYMENT,
        supported_versions: SUPPORTED_VERSIONS,
    };
    for (name, bytes) in stored(DATAGRAMS) {
        let mut peers = Peers::new(config.clone(), 0.0).expect("valid configuration");
        let (header, _) = open(&bytes).expect("valid datagram");
        peers.handle_datagram(1.0, header.position, &bytes);
        let counts = peers.counts();
        assert_eq!(
            (counts.received, counts.malformed, counts.foreign_deployment),
            (1, 0, 0),
            "{name}"
        );
    }
}

/// Checks rounding and limits: values that are negative or not finite become zero, and larger ones are clamped to the
/// maximum. Each case lists its bfloat16 bits, which are the upper half of an `f32`.
#[test]
fn compact_float_encodings_match_golden_bytes() {
    let values = [
        ("third", 1.0 / 3.0, 0x3eab),
        ("million", 1e6, 0x4974),
        ("tiny", 1e-30, 0x0da2),
        ("negative", -1.0, 0),
        ("not_a_number", f64::NAN, 0),
        ("infinite", f64::INFINITY, 0),
        ("largest", 1e300, 0x7f7f),
    ];
    let row = |value| TenantRow {
        tenant: 1,
        values: [
            CompactFloat::of(value),
            CompactFloat::of(1.0),
            CompactFloat::of(2.0),
        ],
    };
    let encode = |value| {
        v2::encode(
            &mut v2::Body {
                rows: vec![row(value)],
                ..empty_body()
            },
            MAX_PAYLOAD_LEN,
        )
    };
    let encoded: Vec<_> = values
        .iter()
        .map(|(name, value, _)| (name.to_string(), encode(*value)))
        .collect();
    assert_stored(COMPACT_FLOATS, &encoded);
    for ((name, bytes), (_, _, bits)) in stored(COMPACT_FLOATS).into_iter().zip(values) {
        let read = v2::decode(&bytes).expect("valid payload").rows[0].values[0].value();
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
        assert_eq!(v1::age_to_ticks(age), ticks, "{age}");
    }
    assert_eq!(v1::age_to_ticks(5080.1), None);
}
