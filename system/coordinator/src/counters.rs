//! What a coordinator counts, for operators.
use magpiegap_jobs::{Applied, Change};
use magpiegap_protocol::{CompletionKind, ConfigurationChunk};
use serde::{Deserialize, Serialize};

/// What a coordinator has counted since its start, over all entries that it has applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Entries applied.
    pub entries: u64,
    /// Runs put on record.
    pub runs_opened: u64,
    /// Runs that ended with success.
    pub runs_done: u64,
    /// Runs that failed.
    pub runs_failed: u64,
    /// Runs that were stopped, lapsed, or were lost.
    pub runs_cut_short: u64,
    /// Views taken up.
    pub views: u64,
    /// Calls to workers.
    pub worker_calls: u64,
    /// Parts of configurations handed to agents, with those that went with the news.
    #[serde(default)]
    pub configuration_parts: u64,
    /// Bytes of these parts.
    #[serde(default)]
    pub configuration_bytes: u64,
}

impl Counters {
    /// Counts a part of a configuration that is handed to an agent.
    pub(crate) fn note_part(&mut self, chunk: &ConfigurationChunk) {
        self.configuration_parts += 1;
        self.configuration_bytes += chunk.bytes.len() as u64;
    }

    /// Counts an entry and what it has changed.
    pub(crate) fn note_entry(&mut self, applied: &Applied) {
        self.entries += 1;
        for change in &applied.changes {
            match change {
                Change::RunOpened(_) => self.runs_opened += 1,
                Change::RunClosed {
                    kind: Some(CompletionKind::Done),
                    ..
                } => self.runs_done += 1,
                Change::RunClosed {
                    kind: Some(CompletionKind::Failed),
                    ..
                } => self.runs_failed += 1,
                Change::RunClosed { .. } => self.runs_cut_short += 1,
                _ => {}
            }
        }
    }
}
