//! The bytes of every version as they are, and what becomes of bytes that are none.
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
    let record = MemberUpdate {
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
        updates: vec![record],
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

/// Written by this program once; a replica of any later build must go on writing and reading them, or take a new
/// version.
const FIRST: &str = "6f500101020102000000000102030400000007000000000000030203e8070107ac0201030201000102010701040102ac02010102050200808080808080808010010209000401030102090104acf3c920";
const SECOND: &str = "6f500201020102000000000102030400000007000000000000030203e8070107ac0201030201000102010701040102ac0201010205020080808080808080801001020900040103010209010401033f804000404001044110410000000182020342c83f004974000011315d24";

#[test]
fn the_bytes_of_every_version_stay_as_they_are() {
    let one = seal(&header(1), &v1::encode(&mut version_1(), MAX_PAYLOAD_LEN));
    assert_eq!(hex(&one), FIRST);
    let (read, payload) = open(&one).expect("whole");
    assert_eq!(
        (read, v1::decode(payload).expect("version 1")),
        (header(1), version_1())
    );
    let two = seal(&header(2), &v2::encode(&mut version_2(), MAX_PAYLOAD_LEN));
    assert_eq!(hex(&two), SECOND);
    let (read, payload) = open(&two).expect("whole");
    assert_eq!(
        (read, v2::decode(payload).expect("version 2")),
        (header(2), version_2())
    );
    // Neither is the other.
    assert!(
        v1::decode(payload).is_err()
            && v2::decode(&v1::encode(&mut version_1(), MAX_PAYLOAD_LEN)).is_err()
    );
}

/// Updates on members may fill a datagram that has no totals; a rest that has no space left is then absent.
#[test]
fn unnamed_tenants_that_do_not_fit_are_absent_and_the_payload_is_read() {
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
        let read = v2::decode(&payload).unwrap_or_else(|e| panic!("{bits} bytes of view: {e:?}"));
        assert_eq!(read.version_1.updates, body.version_1.updates);
        assert!(read.unnamed_tenants.is_none() || read.unnamed_tenants == body.unnamed_tenants);
    }
}

/// Whatever the length of what comes before, the rest leaves the bytes that the empty lists behind it need.
#[test]
fn unnamed_tenants_that_just_fit_leave_space_for_the_lists_behind_them() {
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
                "{bits} bytes of view, {updates} records: {}",
                payload.len()
            );
            v2::decode(&payload).unwrap_or_else(|e| panic!("{bits}, {updates}: {e:?}"));
        }
    }
}

proptest! {
    #[test]
    fn whatever_is_written_fits_and_is_read_as_written(
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
        let read = v2::decode(&payload).expect("what was written is read");
        prop_assert_eq!(&read.version_1.updates, &body.version_1.updates);
        prop_assert!(read.totals.len() <= totals && (totals == 0 || !read.totals.is_empty()));
    }

    #[test]
    fn a_compact_float_is_off_by_one_part_in_256_at_most(value in 1e-30..1e30_f64) {
        prop_assert!((CompactFloat::of(value).value() / value - 1.0).abs() <= 1.0 / 256.0);
    }

    #[test]
    fn garbled_bytes_are_dropped(at in 0..150_usize, bit in 0..8_u8, payload in prop::collection::vec(any::<u8>(), 0..226)) {
        let mut two = seal(&header(2), &v2::encode(&mut version_2(), MAX_PAYLOAD_LEN));
        let at = at % two.len();
        prop_assert!(open(&two[..at]).is_err());
        two[at] ^= 1 << bit;
        prop_assert!(open(&two).is_err());
        // A payload that is no payload, under a check that holds.
        let _ = (v1::decode(&payload).is_ok(), v2::decode(&payload).is_ok());
    }
}
