//! What operators and clients were shown: later responses are checked against it.
use crate::client::ConfigurationChange;
use magpiegap_protocol::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// A change that was acknowledged.
#[derive(Clone, Debug)]
pub(super) struct AcceptedChange {
    pub change: ConfigurationChange,
    /// When it first was.
    pub since: u64,
}

/// The responses so far that nothing may contradict.
#[derive(Clone, Debug, Default)]
pub(super) struct ResponseHistory {
    /// The changes that were acknowledged, by version.
    pub accepted_changes: BTreeMap<u64, AcceptedChange>,
    /// The changes that were rejected for good.
    pub rejected_changes: BTreeSet<ConfigurationChange>,
    /// Jobs that were shown in a terminal phase, and when each first was.
    pub terminal_jobs: BTreeMap<JobId, u64>,
}

impl ResponseHistory {
    /// The newest version that was acknowledged.
    pub(super) fn newest_version(&self) -> u64 {
        self.accepted_changes
            .keys()
            .next_back()
            .copied()
            .unwrap_or(0)
    }

    /// The newest version that was acknowledged up to a time.
    pub(super) fn newest_version_at(&self, at: u64) -> u64 {
        let until_then = self
            .accepted_changes
            .iter()
            .rev()
            .find(|(_, accepted)| accepted.since <= at);
        until_then.map_or(0, |(version, _)| *version)
    }
}
