//! What is put into a store, and read back.
use balancer_snapshots::{Found, Kind, Owner, Store};

pub(crate) fn owner() -> Owner {
    Owner {
        name: "n1".into(),
        settings: 7,
    }
}

/// The payloads of a put of this number: every kind names the number, and is of its own length.
pub(crate) fn payloads(number: usize) -> Vec<(Kind, String)> {
    let of = |kind: Kind| {
        (
            kind,
            format!(
                "{{\"put\":{number},\"fill\":\"{}\"}}",
                "x".repeat(number * 37 % 5000)
            ),
        )
    };
    Kind::ALL.into_iter().map(of).collect()
}

/// The number that all kinds name, if they name one.
pub(crate) fn number(store: &Store) -> Option<usize> {
    let one = |kind| match store.get(kind).expect("reads") {
        Found::Missing => None,
        Found::Record(record) => {
            let number = record
                .payload
                .strip_prefix("{\"put\":")
                .and_then(|t| t.split(',').next()?.parse().ok());
            let number = number.unwrap_or_else(|| panic!("{record:?}"));
            assert_eq!(record.payload, payloads(number)[0].1);
            Some(number)
        }
        Found::Invalid(unfit) => panic!("{kind:?}: {unfit}"),
    };
    let all: Vec<Option<usize>> = Kind::ALL.into_iter().map(one).collect();
    assert!(all.iter().all(|n| *n == all[0]), "half a put: {all:?}");
    all[0]
}
