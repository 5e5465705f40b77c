//! The record codec: records round-trip, and any other bytes are rejected.
use balancer_snapshots::record::RecordError;
use balancer_snapshots::{Kind, Record};

fn record() -> Record {
    Record {
        payload: "{\"a\":[1,2.5]}".into(),
        written_ms: 1.75e12,
        settings: 7,
    }
}

#[test]
fn record_round_trips_for_its_owner_only() {
    let bytes = record().encode(Kind::Learned, "n1");
    assert_eq!(
        Record::decode(&bytes, Kind::Learned, Some("n1")),
        Ok((record(), "n1".into()))
    );
    assert_eq!(
        Record::decode(&bytes, Kind::Learned, Some("n2")),
        Err(RecordError::ForeignOwner("n1".into()))
    );
    assert!(matches!(
        Record::decode(&bytes, Kind::Starts, None),
        Err(RecordError::Malformed(_))
    ));
}

#[test]
fn later_format_is_distinguished_from_malformed_record() {
    let body = br#"{"format":9,"all":"else differs"}"#;
    let mut bytes = crc32fast::hash(body).to_be_bytes().to_vec();
    bytes.extend(body);
    assert_eq!(
        Record::decode(&bytes, Kind::Starts, None),
        Err(RecordError::UnsupportedFormat(9))
    );
}

#[test]
fn any_flipped_bit_or_truncation_is_rejected() {
    let bytes = record().encode(Kind::Upstreams, "n1");
    for bit in 0..bytes.len() * 8 {
        let mut corrupt = bytes.clone();
        corrupt[bit / 8] ^= 1 << (bit % 8);
        assert!(
            Record::decode(&corrupt, Kind::Upstreams, Some("n1")).is_err(),
            "bit {bit}"
        );
    }
    for length in 0..bytes.len() {
        assert!(
            Record::decode(&bytes[..length], Kind::Upstreams, None).is_err(),
            "{length} bytes"
        );
    }
}
