//! Counters of a coordinator, for operators. Their names are those of the operator's interface.
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
    /// Runs that completed with success.
    pub runs_done: u64,
    /// Runs that failed.
    pub runs_failed: u64,
    /// Runs that were stopped, whose lease expired, or that were lost.
    #[serde(rename = "runs_cut_short")]
    pub runs_interrupted: u64,
    /// Views entered.
    pub views: u64,
    /// Calls to workers.
    pub worker_calls: u64,
    /// Chunks of configurations sent to agents, with those that went with the feed.
    #[serde(default)]
    #[serde(rename = "configuration_parts")]
    pub configuration_chunks: u64,
    /// Bytes of these chunks.
    #[serde(default)]
    pub configuration_bytes: u64,
}

impl Counters {
    /// Counts a chunk of a configuration that is sent to an agent.
    pub(crate) fn count_chunk(&mut self, chunk: &ConfigurationChunk) {
        self.configuration_chunks += 1;
        self.configuration_bytes += chunk.bytes.len() as u64;
    }

    /// Counts an entry and what it has changed.
    pub(crate) fn count_entry(&mut self, applied: &Applied) {
        self.entries += 1;
        for change in &applied.changes {
            match change {
                Change::RunStarted(_) => self.runs_opened += 1,
                Change::RunClosed {
                    kind: Some(CompletionKind::Done),
                    ..
                } => self.runs_done += 1,
                Change::RunClosed {
                    kind: Some(CompletionKind::Failed),
                    ..
                } => self.runs_failed += 1,
                Change::RunClosed { .. } => self.runs_interrupted += 1,
                _ => {}
            }
        }
    }
}
