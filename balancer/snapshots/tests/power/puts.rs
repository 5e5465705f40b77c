//! Numbered payloads that are put into a store and read back.
use balancer_snapshots::{Found, Kind, Owner, Store};

pub(crate) fn owner() -> Owner {
    Owner {
        name: "n1".into(),
        settings: 7,
    }
}

/// The payloads of the put with this number, one of each kind, whose length depends on the number.
pub(crate) fn payloads(number: usize) -> Vec<(Kind, String)> {
    let payload = |kind: Kind| {
        (
            kind,
            format!(
                "{{\"put\":{number},\"fill\":\"{}\"}}",
                "x".repeat(number * 37 % 5000)
            ),
        )
    };
    Kind::ALL.into_iter().map(payload).collect()
}

/// The number of the put from which all records are, or `None` if there are no records.
pub(crate) fn number(store: &Store) -> Option<usize> {
    let number_of = |kind| match store.get(kind).expect("reads") {
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
        Found::Invalid(error) => panic!("{kind:?}: {error}"),
    };
    let numbers: Vec<Option<usize>> = Kind::ALL.into_iter().map(number_of).collect();
    assert!(
        numbers.iter().all(|n| *n == numbers[0]),
        "partial put: {numbers:?}"
    );
    numbers[0]
}
