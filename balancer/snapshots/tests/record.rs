//! The bytes of a record: what is written is read, and nothing else.
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
fn a_record_comes_back_as_it_was_for_its_owner_only() {
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
fn a_later_format_is_distinguished_from_a_malformed_record() {
    let body = br#"{"format":9,"all":"else differs"}"#;
    let mut bytes = crc32fast::hash(body).to_be_bytes().to_vec();
    bytes.extend(body);
    assert_eq!(
        Record::decode(&bytes, Kind::Starts, None),
        Err(RecordError::UnsupportedFormat(9))
    );
}

#[test]
fn any_bit_that_flips_and_any_end_that_is_missing_is_seen() {
    let bytes = record().encode(Kind::Upstreams, "n1");
    for bit in 0..bytes.len() * 8 {
        let mut other = bytes.clone();
        other[bit / 8] ^= 1 << (bit % 8);
        assert!(
            Record::decode(&other, Kind::Upstreams, Some("n1")).is_err(),
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
