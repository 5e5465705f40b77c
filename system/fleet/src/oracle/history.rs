//! Earlier responses to operators and clients, which later responses must not contradict.
use crate::client::ConfigurationChange;
use magpiegap_protocol::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// A configuration change that was acknowledged as accepted.
#[derive(Clone, Debug)]
pub(super) struct AcceptedChange {
    pub change: ConfigurationChange,
    /// When it was first acknowledged.
    pub since: u64,
}

/// The responses so far that later responses must not contradict.
#[derive(Clone, Debug, Default)]
pub(super) struct ResponseHistory {
    /// The accepted changes, by version.
    pub accepted_changes: BTreeMap<u64, AcceptedChange>,
    /// The changes that were permanently rejected.
    pub rejected_changes: BTreeSet<ConfigurationChange>,
    /// When each job was first reported in a terminal phase.
    pub terminal_jobs: BTreeMap<JobId, u64>,
}

impl ResponseHistory {
    /// The newest acknowledged version.
    pub(super) fn newest_version(&self) -> u64 {
        self.accepted_changes
            .keys()
            .next_back()
            .copied()
            .unwrap_or(0)
    }

    /// The newest version that had been acknowledged at a given time.
    pub(super) fn newest_version_at(&self, at: u64) -> u64 {
        let until_then = self
            .accepted_changes
            .iter()
            .rev()
            .find(|(_, accepted)| accepted.since <= at);
        until_then.map_or(0, |(version, _)| *version)
    }
}
