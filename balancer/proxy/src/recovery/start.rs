//! The count and the incarnation of a start. Owns no state.
use balancer_snapshots::unix_ms;
use rand::Rng;
use serde::{Deserialize, Serialize};

/// Random bits below the time in an incarnation: two starts in one millisecond, on a clock that went back and with a
/// folder that was lost, still get different ones.
const RANDOM_BITS: u32 = 20;
/// Largest time in an incarnation, in milliseconds since 1970.
const MAX_TIME_MS: f64 = 1e13;

/// Which start of the balancer this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Start {
    /// Number of starts, this one included; begins anew with a folder that was lost.
    pub count: u64,
    /// A number that no other start of this balancer has: more than all that its folder knows of, and, where that was
    /// lost, made of the time and of random bits.
    pub incarnation: u64,
}

impl Start {
    /// Creates a start of which nothing is persisted: its incarnation is made of the time and of random bits.
    pub(crate) fn not_persisted() -> Start {
        Start::after(None)
    }

    /// Creates the start after the one that a folder has persisted, if it has.
    pub(super) fn after(persisted: Option<&str>) -> Start {
        let previous = persisted.and_then(Start::parse).unwrap_or(Start {
            count: 0,
            incarnation: 0,
        });
        let time = (unix_ms().clamp(0.0, MAX_TIME_MS) as u64) << RANDOM_BITS;
        let random = rand::thread_rng().gen::<u64>() % (1 << RANDOM_BITS);
        Start {
            count: previous.count.saturating_add(1),
            incarnation: previous.incarnation.saturating_add(1).max(time | random),
        }
    }

    fn parse(text: &str) -> Option<Start> {
        // Version 0.1 persisted the count alone.
        let count_alone = || {
            let count = text.parse().ok()?;
            Some(Start {
                count,
                incarnation: 0,
            })
        };
        serde_json::from_str(text).ok().or_else(count_alone)
    }
}
