//! The bytes of every version as they are, and what becomes of bytes that are none.
use proptest::prelude::*;

use balancer_gossip::wire::v1::{
    About, Body, Echo, Head, Kind, Reads, Record, Stance, Status, Verdict, View,
};
use balancer_gossip::wire::v2::{Figure, Rest, Row, Totals};
use balancer_gossip::wire::{open, seal, v1, v2, Header, PAYLOAD};
use balancer_gossip::{Member, Subject, Versions, DATAGRAM_MOST};

fn header(version: u8) -> Header {
    let reads = Versions { least: 1, most: 2 };
    Header {
        version,
        reads,
        place: Member(258),
        incarnation: 0x0102_0304,
        deployment: 7,
        epoch: 0x0302,
    }
}

fn first() -> Body {
    let head = Head {
        kind: Kind::IndirectAck,
        stamp: 1_000,
        echo: Some(Echo {
            stamp: 7,
            held: 300,
        }),
        about: Some(About { member: 3, age: 2 }),
        lost: 1,
    };
    let reads = Reads { least: 1, most: 2 };
    let view = View {
        base: 0,
        reads,
        bits: vec![0b111],
        others: vec![0b100],
    };
    let record = Record {
        member: 2,
        incarnation: 300,
        status: Status::Suspect,
        reads,
        age: 5,
    };
    let verdict = |subject, stance| Verdict {
        subject,
        observer: 1,
        zone: 2,
        sequence: 9,
        stance,
        age: 4,
    };
    let verdicts = vec![
        verdict(Subject::Upstream(1 << 60), Stance::Against),
        verdict(Subject::Zone(3), Stance::Cleared),
    ];
    Body {
        head,
        view,
        records: vec![record],
        verdicts,
    }
}

fn second() -> v2::Body {
    let figure = Figure::of;
    let totals = Totals {
        owner: 258,
        age: 3,
        figures: [figure(100.0), figure(0.5), figure(1e6), figure(-1.0)],
    };
    let rest = Rest {
        age: 3,
        figures: [figure(1.0), figure(2.0), figure(3.0)],
    };
    let row = Row {
        tenant: 4,
        figures: [figure(9.0), figure(8.0), figure(f64::NAN)],
    };
    v2::Body {
        first: first(),
        rest: Some(rest),
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
    let one = seal(&header(1), &v1::write(&mut first(), PAYLOAD));
    assert_eq!(hex(&one), FIRST);
    let (read, payload) = open(&one).expect("whole");
    assert_eq!(
        (read, v1::read(payload).expect("version 1")),
        (header(1), first())
    );
    let two = seal(&header(2), &v2::write(&mut second(), PAYLOAD));
    assert_eq!(hex(&two), SECOND);
    let (read, payload) = open(&two).expect("whole");
    assert_eq!(
        (read, v2::read(payload).expect("version 2")),
        (header(2), second())
    );
    // Neither is the other.
    assert!(v1::read(payload).is_err() && v2::read(&v1::write(&mut first(), PAYLOAD)).is_err());
}

/// Updates on members may fill a datagram that has no totals; a rest that has no space left is then absent.
#[test]
fn a_rest_that_does_not_fit_is_absent_and_the_payload_is_read() {
    for bits in 0..65 {
        let mut body = second();
        body.first.view.bits = vec![255; bits];
        body.first.records = vec![
            Record {
                incarnation: u64::MAX,
                ..body.first.records[0]
            };
            40
        ];
        (body.first.verdicts, body.rows, body.totals) = (Vec::new(), Vec::new(), Vec::new());
        let payload = v2::write(&mut body, PAYLOAD);
        let read = v2::read(&payload).unwrap_or_else(|e| panic!("{bits} bytes of view: {e:?}"));
        assert_eq!(read.first.records, body.first.records);
        assert!(read.rest.is_none() || read.rest == body.rest);
    }
}

/// Whatever the length of what comes before, the rest leaves the bytes that the empty lists behind it need.
#[test]
fn a_rest_that_just_fits_leaves_room_for_the_lists_behind_it() {
    for bits in 0..65 {
        for records in 0..60 {
            let mut body = second();
            body.first.view.bits = vec![255; bits];
            body.first.records = vec![
                Record {
                    incarnation: u64::MAX,
                    ..body.first.records[0]
                };
                records
            ];
            (body.first.verdicts, body.rows, body.totals) = (Vec::new(), Vec::new(), Vec::new());
            let payload = v2::write(&mut body, PAYLOAD);
            assert!(
                payload.len() <= PAYLOAD,
                "{bits} bytes of view, {records} records: {}",
                payload.len()
            );
            v2::read(&payload).unwrap_or_else(|e| panic!("{bits}, {records}: {e:?}"));
        }
    }
}

proptest! {
    #[test]
    fn whatever_is_written_fits_and_is_read_as_written(
        records in 0..60_usize, verdicts in 0..20_usize, rows in 0..9_usize, totals in 0..40_usize, bits in 0..65_usize,
    ) {
        let mut body = second();
        body.first.view.bits = vec![255; bits];
        body.first.records = vec![Record { incarnation: u64::MAX, ..body.first.records[0] }; records];
        body.first.verdicts = vec![body.first.verdicts[0]; verdicts];
        body.rows = vec![body.rows[0]; rows];
        body.totals = vec![body.totals[0]; totals];
        let payload = v2::write(&mut body, PAYLOAD);
        prop_assert!(seal(&header(2), &payload).len() <= DATAGRAM_MOST);
        let read = v2::read(&payload).expect("what was written is read");
        prop_assert_eq!(&read.first.records, &body.first.records);
        prop_assert!(read.totals.len() <= totals && (totals == 0 || !read.totals.is_empty()));
    }

    #[test]
    fn a_figure_is_off_by_one_part_in_256_at_most(value in 1e-30..1e30_f64) {
        prop_assert!((Figure::of(value).value() / value - 1.0).abs() <= 1.0 / 256.0);
    }

    #[test]
    fn garbled_bytes_are_dropped(at in 0..150_usize, bit in 0..8_u8, payload in prop::collection::vec(any::<u8>(), 0..226)) {
        let mut two = seal(&header(2), &v2::write(&mut second(), PAYLOAD));
        let at = at % two.len();
        prop_assert!(open(&two[..at]).is_err());
        two[at] ^= 1 << bit;
        prop_assert!(open(&two).is_err());
        // A payload that is no payload, under a check that holds.
        let _ = (v1::read(&payload).is_ok(), v2::read(&payload).is_ok());
    }
}
