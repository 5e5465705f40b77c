//! What answers take.
use crate::interface::Millis;
use std::collections::BTreeMap;

/// Answer times.
#[derive(Default)]
pub(crate) struct Answers {
    /// Mean answer time of each kind, as a part of the objective, and of how many answers: a copy that sees
    /// little has heard of a kind long before it has heard of each upstream.
    pub kinds: BTreeMap<u8, (f64, f64)>,
    /// Mean answer time, and the mean deviation from it.
    pub latency: Millis,
    pub deviation: Millis,
}
