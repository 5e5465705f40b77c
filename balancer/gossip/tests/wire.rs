//! Encodings of every version: stable bytes, limits of length, and rejection of corrupt bytes.
use proptest::prelude::*;

use balancer_gossip::wire::v1::{
    Body, Echo, Head, MemberUpdate, MembershipDigest, MessageKind, ProbeTarget, Status,
    SupportedVersions, Verdict, VerdictState,
};
use balancer_gossip::wire::v2::{CompactFloat, TenantRow, Totals, UnnamedTenants};
use balancer_gossip::wire::{open, seal, v1, v2, Header, MAX_PAYLOAD_LEN};
use balancer_gossip::{Member, Subject, VersionRange, MAX_DATAGRAM_LEN};

fn header(version: u8) -> Header {
    let supported_versions = VersionRange { min: 1, max: 2 };
    Header {
        version,
        supported_versions,
        position: Member(258),
        incarnation: 0x0102_0304,
        deployment: 7,
        epoch: 0x0302,
    }
}

fn version_1() -> Body {
    let head = Head {
        kind: MessageKind::IndirectAck,
        stamp: 1_000,
        echo: Some(Echo {
            stamp: 7,
            delay: 300,
        }),
        target: Some(ProbeTarget { member: 3, age: 2 }),
        recent_failures: 1,
    };
    let supported_versions = SupportedVersions { min: 1, max: 2 };
    let digest = MembershipDigest {
        base: 0,
        supported_versions,
        bits: vec![0b111],
        others: vec![0b100],
    };
    let update = MemberUpdate {
        member: 2,
        incarnation: 300,
        status: Status::Suspect,
        supported_versions,
        age: 5,
    };
    let verdict = |subject, state| Verdict {
        subject,
        observer: 1,
        zone: 2,
        sequence: 9,
        state,
        age: 4,
    };
    let verdicts = vec![
        verdict(Subject::Upstream(1 << 60), VerdictState::Against),
        verdict(Subject::Zone(3), VerdictState::Cleared),
    ];
    Body {
        head,
        digest,
        updates: vec![update],
        verdicts,
    }
}

fn version_2() -> v2::Body {
    let compact = CompactFloat::of;
    let totals = Totals {
        owner: 258,
        age: 3,
        values: [compact(100.0), compact(0.5), compact(1e6), compact(-1.0)],
    };
    let unnamed_tenants = UnnamedTenants {
        age: 3,
        values: [compact(1.0), compact(2.0), compact(3.0)],
    };
    let row = TenantRow {
        tenant: 4,
        values: [compact(9.0), compact(8.0), compact(f64::NAN)],
    };
    v2::Body {
        version_1: version_1(),
        unnamed_tenants: Some(unnamed_tenants),
        rows: vec![row],
        totals: vec![totals],
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Datagrams of each version. Later builds must encode and decode them unchanged, or introduce a new version.
const VERSION_1_DATAGRAM: &str = "6f500101020102000000000102030400000007000000000000030203e8070107ac0201030201000102010701040102ac02010102050200808080808080808010010209000401030102090104acf3c920";
const VERSION_2_DATAGRAM: &str = "6f500201020102000000000102030400000007000000000000030203e8070107ac0201030201000102010701040102ac0201010205020080808080808080801001020900040103010209010401033f804000404001044110410000000182020342c83f004974000011315d24";

#[test]
fn encodings_of_every_version_are_stable() {
    let datagram_1 = seal(&header(1), &v1::encode(&mut version_1(), MAX_PAYLOAD_LEN));
    assert_eq!(hex(&datagram_1), VERSION_1_DATAGRAM);
    let (read, payload) = open(&datagram_1).expect("valid datagram");
    assert_eq!(
        (read, v1::decode(payload).expect("version 1")),
        (header(1), version_1())
    );
    let datagram_2 = seal(&header(2), &v2::encode(&mut version_2(), MAX_PAYLOAD_LEN));
    assert_eq!(hex(&datagram_2), VERSION_2_DATAGRAM);
    let (read, payload) = open(&datagram_2).expect("valid datagram");
    assert_eq!(
        (read, v2::decode(payload).expect("version 2")),
        (header(2), version_2())
    );
    // A payload of one version is not a valid payload of the other.
    assert!(
        v1::decode(payload).is_err()
            && v2::decode(&v1::encode(&mut version_1(), MAX_PAYLOAD_LEN)).is_err()
    );
}

/// Membership updates may fill a datagram without totals; unnamed tenants are omitted if no space is left.
#[test]
fn unnamed_tenants_are_omitted_without_space() {
    for bits in 0..65 {
        let mut body = version_2();
        body.version_1.digest.bits = vec![255; bits];
        body.version_1.updates = vec![
            MemberUpdate {
                incarnation: u64::MAX,
                ..body.version_1.updates[0]
            };
            40
        ];
        (body.version_1.verdicts, body.rows, body.totals) = (Vec::new(), Vec::new(), Vec::new());
        let payload = v2::encode(&mut body, MAX_PAYLOAD_LEN);
        let read = v2::decode(&payload).unwrap_or_else(|e| panic!("{bits} bytes of digest: {e:?}"));
        assert_eq!(read.version_1.updates, body.version_1.updates);
        assert!(read.unnamed_tenants.is_none() || read.unnamed_tenants == body.unnamed_tenants);
    }
}

/// For any length of the preceding parts, unnamed tenants leave space for the empty lists that follow.
#[test]
fn unnamed_tenants_leave_space_for_following_lists() {
    for bits in 0..65 {
        for updates in 0..60 {
            let mut body = version_2();
            body.version_1.digest.bits = vec![255; bits];
            body.version_1.updates = vec![
                MemberUpdate {
                    incarnation: u64::MAX,
                    ..body.version_1.updates[0]
                };
                updates
            ];
            (body.version_1.verdicts, body.rows, body.totals) =
                (Vec::new(), Vec::new(), Vec::new());
            let payload = v2::encode(&mut body, MAX_PAYLOAD_LEN);
            assert!(
                payload.len() <= MAX_PAYLOAD_LEN,
                "{bits} bytes of digest, {updates} updates: {}",
                payload.len()
            );
            v2::decode(&payload).unwrap_or_else(|e| panic!("{bits}, {updates}: {e:?}"));
        }
    }
}

proptest! {
    #[test]
    fn payloads_fit_and_round_trip(
        updates in 0..60_usize, verdicts in 0..20_usize, rows in 0..9_usize, totals in 0..40_usize, bits in 0..65_usize,
    ) {
        let mut body = version_2();
        body.version_1.digest.bits = vec![255; bits];
        body.version_1.updates = vec![MemberUpdate { incarnation: u64::MAX, ..body.version_1.updates[0] }; updates];
        body.version_1.verdicts = vec![body.version_1.verdicts[0]; verdicts];
        body.rows = vec![body.rows[0]; rows];
        body.totals = vec![body.totals[0]; totals];
        let payload = v2::encode(&mut body, MAX_PAYLOAD_LEN);
        prop_assert!(seal(&header(2), &payload).len() <= MAX_DATAGRAM_LEN);
        let read = v2::decode(&payload).expect("valid payload");
        prop_assert_eq!(&read.version_1.updates, &body.version_1.updates);
        prop_assert!(read.totals.len() <= totals && (totals == 0 || !read.totals.is_empty()));
    }

    #[test]
    fn compact_float_error_is_within_one_in_256(value in 1e-30..1e30_f64) {
        prop_assert!((CompactFloat::of(value).value() / value - 1.0).abs() <= 1.0 / 256.0);
    }

    #[test]
    fn corrupt_datagrams_are_rejected(at in 0..150_usize, bit in 0..8_u8, payload in prop::collection::vec(any::<u8>(), 0..226)) {
        let mut datagram = seal(&header(2), &v2::encode(&mut version_2(), MAX_PAYLOAD_LEN));
        let at = at % datagram.len();
        prop_assert!(open(&datagram[..at]).is_err());
        datagram[at] ^= 1 << bit;
        prop_assert!(open(&datagram).is_err());
        // Arbitrary payload bytes must not cause a panic in the decoders.
        let _ = (v1::decode(&payload).is_ok(), v2::decode(&payload).is_ok());
    }
}
