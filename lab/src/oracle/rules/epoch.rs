//! The epoch of the version agreement never decreases within an incarnation. Owns the highest epoch of each.
use std::collections::HashMap;

/// Highest epoch of each incarnation of each balancer.
#[derive(Default)]
pub(crate) struct Epochs(HashMap<(usize, u64), u64>);

impl Epochs {
    /// Checks an epoch that a balancer sends. Returns the higher one that it sent before, if there is one.
    pub(crate) fn sent(&mut self, from: usize, incarnation: u64, epoch: u64) -> Option<u64> {
        let highest = self.0.entry((from, incarnation)).or_insert(epoch);
        let before = *highest;
        *highest = before.max(epoch);
        (epoch < before).then_some(before)
    }
}
