//! Chunked snapshots of the state.
//!
//! Each chunk is an encoded [`State`] that holds a subset of the records: the first chunk holds everything except the
//! jobs, all others hold only jobs.
use crate::{service_jobs::ServiceJobs, Job, Shared, State};
use magpiegap_protocol::{decode, encode, DecodeError, JobId, LogPosition};
use std::collections::BTreeMap;

/// Maximum number of jobs per chunk. A chunk is at most 0.5 MB and typically 50 kB.
const JOBS_PER_CHUNK: usize = 128;

/// An immutable copy of the state at one log position. Taking it copies one pointer per job; jobs are cloned only when
/// the live state changes them.
#[derive(Clone, Debug)]
pub struct JobsSnapshot {
    /// The state without jobs.
    base: State,
    jobs: BTreeMap<JobId, Shared<Job>>,
    /// The first job of each job chunk.
    chunk_starts: Vec<JobId>,
}

impl State {
    /// Takes a snapshot of the current state.
    pub fn snapshot(&self) -> JobsSnapshot {
        let base = State {
            position: self.position,
            configuration: self.configuration.clone(),
            roles: self.roles.clone(),
            jobs: BTreeMap::new(),
            workers: self.workers.clone(),
            open_jobs: self.open_jobs.clone(),
            service_jobs: ServiceJobs::default(),
        };
        let chunk_starts = self.jobs.keys().step_by(JOBS_PER_CHUNK).copied().collect();
        JobsSnapshot {
            base,
            jobs: self.jobs.clone(),
            chunk_starts,
        }
    }
}

impl JobsSnapshot {
    /// Returns the log position of the last entry included.
    pub fn position(&self) -> LogPosition {
        self.base.position
    }

    /// Returns the number of chunks, at least one.
    pub fn chunks(&self) -> u32 {
        1 + self.chunk_starts.len() as u32
    }

    /// Returns the encoded chunk with a zero-based number, or an empty vector if the number is out of range.
    pub fn chunk(&self, number: u32) -> Vec<u8> {
        let Some(jobs_chunk_index) = number.checked_sub(1) else {
            return encode(&self.base);
        };
        let Some(first_job) = self.chunk_starts.get(jobs_chunk_index as usize) else {
            return Vec::new();
        };
        let jobs = self.jobs.range(first_job..).take(JOBS_PER_CHUNK);
        encode(&State {
            jobs: jobs.map(|(id, job)| (*id, job.clone())).collect(),
            ..State::default()
        })
    }
}

/// Rebuilds a state from the chunks of a snapshot, added in order. A complete encoded state is accepted as a single
/// chunk.
#[derive(Clone, Debug, Default)]
pub struct SnapshotBuilder {
    state: Option<State>,
}

impl SnapshotBuilder {
    /// Adds the next chunk.
    ///
    /// # Errors
    /// Returns an error if the bytes do not decode as a snapshot chunk.
    pub fn add(&mut self, chunk: &[u8]) -> Result<(), DecodeError> {
        let chunk: State = decode(chunk)?;
        match self.state.as_mut() {
            Some(state) => state.jobs.extend(chunk.jobs),
            None => self.state = Some(chunk),
        }
        Ok(())
    }

    /// Returns the rebuilt state, or `None` if no chunk was added.
    pub fn finish(self) -> Option<State> {
        let mut state = self.state?;
        state.service_jobs = ServiceJobs::of(&state.jobs);
        Some(state)
    }
}
