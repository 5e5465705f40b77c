//! Snapshots of a state, in chunks, and how a state is rebuilt from them.
//!
//! Each chunk is an encoded [`State`] with some of the records: the first has all but the jobs, the others have jobs only.
use crate::{Job, Shared, State};
use magpiegap_protocol::{decode, encode, DecodeError, JobId, LogPosition};
use std::collections::BTreeMap;

/// Jobs in one chunk: half a megabyte at most, mostly a tenth of that.
const JOBS_PER_CHUNK: usize = 128;

/// A state at one position of the log. Taking it costs a pointer for each job; a job that is changed later is copied
/// first.
#[derive(Clone, Debug)]
pub struct JobsSnapshot {
    /// The state without its jobs.
    head: State,
    jobs: BTreeMap<JobId, Shared<Job>>,
    /// The first job of each chunk that has jobs.
    first_jobs: Vec<JobId>,
}

impl State {
    /// Takes a snapshot.
    pub fn snapshot(&self) -> JobsSnapshot {
        let head = State {
            position: self.position,
            configuration: self.configuration.clone(),
            roles: self.roles.clone(),
            jobs: BTreeMap::new(),
            workers: self.workers.clone(),
            open_jobs: self.open_jobs.clone(),
        };
        let first_jobs = self.jobs.keys().step_by(JOBS_PER_CHUNK).copied().collect();
        JobsSnapshot {
            head,
            jobs: self.jobs.clone(),
            first_jobs,
        }
    }
}

impl JobsSnapshot {
    /// Position of the last entry that is in it.
    pub fn position(&self) -> LogPosition {
        self.head.position
    }

    /// Number of chunks: at least one.
    pub fn chunks(&self) -> u32 {
        1 + self.first_jobs.len() as u32
    }

    /// The encoded chunk of a number, from zero; empty for one that there is not.
    pub fn chunk(&self, number: u32) -> Vec<u8> {
        let Some(jobs_chunk) = number.checked_sub(1) else {
            return encode(&self.head);
        };
        let Some(first_job) = self.first_jobs.get(jobs_chunk as usize) else {
            return Vec::new();
        };
        let jobs = self.jobs.range(first_job..).take(JOBS_PER_CHUNK);
        encode(&State {
            jobs: jobs.map(|(id, job)| (*id, job.clone())).collect(),
            ..State::default()
        })
    }
}

/// Rebuilds a state from the chunks of a snapshot, in their order. A complete encoded state is taken as the only
/// chunk.
#[derive(Clone, Debug, Default)]
pub struct SnapshotBuilder {
    state: Option<State>,
}

impl SnapshotBuilder {
    /// Adds the next chunk.
    ///
    /// # Errors
    /// When the bytes are not a chunk of a snapshot.
    pub fn add(&mut self, chunk: &[u8]) -> Result<(), DecodeError> {
        let chunk: State = decode(chunk)?;
        match self.state.as_mut() {
            Some(state) => state.jobs.extend(chunk.jobs),
            None => self.state = Some(chunk),
        }
        Ok(())
    }

    /// The rebuilt state; `None` when no chunk was added.
    pub fn finish(self) -> Option<State> {
        self.state
    }
}
