//! What operators and clients were told.
use crate::client::Order;
use magpiegap_protocol::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// What operators were told, and what was shown of jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Told {
    /// The orders that were confirmed, by version, and when each first was.
    pub taken: BTreeMap<u64, (Order, u64)>,
    /// The orders that were refused for good.
    pub refused: BTreeSet<Order>,
    /// Jobs that were shown as ended, and when each first was.
    pub ended: BTreeMap<JobId, u64>,
}

impl Told {
    /// The newest version that was confirmed.
    pub(crate) fn newest(&self) -> u64 {
        self.taken.keys().next_back().copied().unwrap_or(0)
    }

    /// The newest version that was confirmed up to a time.
    pub(crate) fn newest_at(&self, at: u64) -> u64 {
        let until_then = self.taken.iter().rev().find(|(_, (_, since))| *since <= at);
        until_then.map_or(0, |(version, _)| *version)
    }
}
