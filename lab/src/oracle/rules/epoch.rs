//! The number of the agreement on a version never goes back within one incarnation. Owns the highest of each.
use std::collections::HashMap;

/// The highest number of each balancer's incarnations.
#[derive(Default)]
pub(crate) struct Epochs(HashMap<(usize, u64), u64>);

impl Epochs {
    /// A balancer sends this number; says the higher one that it has sent before.
    pub(crate) fn sent(&mut self, from: usize, incarnation: u64, epoch: u64) -> Option<u64> {
        let highest = self.0.entry((from, incarnation)).or_insert(epoch);
        let before = *highest;
        *highest = before.max(epoch);
        (epoch < before).then_some(before)
    }
}
