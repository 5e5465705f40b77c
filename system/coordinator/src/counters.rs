//! Counters of a coordinator for operators. The serialized field names are part of the operator interface.
use magpiegap_jobs::{Applied, Change};
use magpiegap_protocol::{CompletionKind, ConfigurationChunk};
use serde::{Deserialize, Serialize};

/// Counters of a coordinator since its start. Entries and runs are counted as they are applied from the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Entries applied.
    pub entries: u64,
    /// Runs recorded as started.
    pub runs_opened: u64,
    /// Runs that completed successfully.
    pub runs_done: u64,
    /// Runs that failed.
    pub runs_failed: u64,
    /// Runs that ended otherwise: stopped, lost, lease expired, or terminated with their gang.
    #[serde(rename = "runs_cut_short")]
    pub runs_interrupted: u64,
    /// Views that were entered.
    pub views: u64,
    /// Calls to workers.
    pub worker_calls: u64,
    /// Configuration chunks sent to agents, including those sent with the feed.
    #[serde(default)]
    #[serde(rename = "configuration_parts")]
    pub configuration_chunks: u64,
    /// Total size of these chunks, in bytes.
    #[serde(default)]
    pub configuration_bytes: u64,
    /// Turns that took longer than a tenth of the suspicion timeout. Heartbeats wait for the end of a turn.
    #[serde(default)]
    pub long_turns: u64,
    /// Duration of the longest turn, in milliseconds.
    #[serde(default)]
    pub longest_turn_ms: u64,
}

impl Counters {
    /// Counts a configuration chunk that is sent to an agent.
    pub(crate) fn count_chunk(&mut self, chunk: &ConfigurationChunk) {
        self.configuration_chunks += 1;
        self.configuration_bytes += chunk.bytes.len() as u64;
    }

    /// Counts an applied entry and the run changes that it made.
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
