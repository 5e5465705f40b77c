//! A state at one moment, in parts, and its way back.
use crate::{Job, Shared, State};
use magpiegap_protocol::{decode, encode, DecodeError, JobId, LogPosition};
use std::collections::BTreeMap;

/// Jobs in one part of a frozen state: at most half a megabyte, mostly a tenth of that.
const JOBS_PER_CHUNK: usize = 128;

/// A state that does not change any more. To freeze one costs a pointer for each job; a job that is changed later is
/// copied first.
#[derive(Clone, Debug)]
pub struct JobsSnapshot {
    /// All but the jobs.
    head: State,
    jobs: BTreeMap<JobId, Shared<Job>>,
    /// The first job of each part that has jobs.
    firsts: Vec<JobId>,
}

impl State {
    /// The state as it is now.
    pub fn snapshot(&self) -> JobsSnapshot {
        let head = State {
            position: self.position,
            configuration: self.configuration.clone(),
            roles: self.roles.clone(),
            jobs: BTreeMap::new(),
            workers: self.workers.clone(),
            open_jobs: self.open_jobs.clone(),
        };
        let firsts = self.jobs.keys().step_by(JOBS_PER_CHUNK).copied().collect();
        JobsSnapshot {
            head,
            jobs: self.jobs.clone(),
            firsts,
        }
    }
}

impl JobsSnapshot {
    /// The last entry applied to it.
    pub fn position(&self) -> LogPosition {
        self.head.position
    }

    /// How many parts it has: one with all but the jobs, and those with jobs.
    pub fn chunks(&self) -> u32 {
        1 + self.firsts.len() as u32
    }

    /// One of its parts, encoded; empty for one that it does not have.
    pub fn chunk(&self, number: u32) -> Vec<u8> {
        let Some(number) = number.checked_sub(1) else {
            return encode(&self.head);
        };
        let Some(first) = self.firsts.get(number as usize) else {
            return Vec::new();
        };
        let jobs = self.jobs.range(first..).take(JOBS_PER_CHUNK);
        let jobs = jobs.map(|(id, job)| (*id, job.clone())).collect();
        encode(&State {
            jobs,
            ..State::default()
        })
    }
}

/// Builds a state up from the parts of a frozen one, in their order. A state in one piece is taken as its only part.
#[derive(Clone, Debug, Default)]
pub struct SnapshotBuilder {
    state: Option<State>,
}

impl SnapshotBuilder {
    /// Adds the next part.
    ///
    /// # Errors
    /// When the bytes are no part of a state.
    pub fn add(&mut self, chunk: &[u8]) -> Result<(), DecodeError> {
        let chunk: State = decode(chunk)?;
        match self.state.as_mut() {
            Some(state) => state.jobs.extend(chunk.jobs),
            None => self.state = Some(chunk),
        }
        Ok(())
    }

    /// The state; `None` when no part has come.
    pub fn finish(self) -> Option<State> {
        self.state
    }
}
