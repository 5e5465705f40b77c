//! The count and the incarnation of a start. Owns no state.
use balancer_snapshots::unix_ms;
use rand::Rng;
use serde::{Deserialize, Serialize};

/// Number of random bits below the time in an incarnation. They keep incarnations distinct if two starts fall into the
/// same millisecond, or if the clock was set back and the state folder was lost.
const RANDOM_BITS: u32 = 20;
/// Maximum time in an incarnation, in milliseconds since the Unix epoch.
const MAX_TIME_MS: f64 = 1e13;

/// Identifies a start of the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Start {
    /// Number of starts including this one. Restarts at one if the state folder was lost.
    pub count: u64,
    /// A number unique among the starts of this balancer: greater than all that are recorded in the folder, and at
    /// least the current time followed by random bits, in case the folder was lost.
    pub incarnation: u64,
}

impl Start {
    /// Creates a start that is not persisted; its incarnation consists of the time and random bits.
    pub(crate) fn not_persisted() -> Start {
        Start::after(None)
    }

    /// Creates the start that follows the persisted one, if there is one.
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
