//! Offline inspection of a coordinator's state on disk; the coordinator must be stopped.
use crate::error::ProgramError;
use magpiegap_control::DurableState;
use magpiegap_coordinator::{Machine, RoleDescription};
use magpiegap_jobs::{Inconsistency, State};
use magpiegap_protocol::Entry;
use magpiegap_storage::{FolderDirectory, Store};
use serde::Serialize;
use std::{collections::BTreeMap, fmt, path::Path};

/// The state in a coordinator's data folder. The field names are part of the operator interface: they are the JSON keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StateOnDisk {
    /// Identity of the disk.
    pub disk: String,
    /// Number of process starts on this disk; zero if it was written by a build that does not count them.
    pub starts: u64,
    /// Number of the newest known view.
    pub view: u64,
    /// Replicas in the chain of that view, from head to tail.
    pub chain: Vec<String>,
    /// Members that vote on the next view.
    pub voters: Vec<String>,
    /// The view up to which all committed entries are present; `None` if the state was not received yet.
    pub complete_up_to_view: Option<u64>,
    /// Number of log records after the snapshot.
    pub records: usize,
    /// The last entry known to be committed; `jobs` and `roles` describe the state after applying it.
    pub applied_entry: u64,
    /// Number of later entries, which may or may not be committed.
    pub entries_after: usize,
    /// Version of the configuration.
    pub configuration: u64,
    /// The holders of the roles.
    pub roles: Vec<RoleDescription>,
    /// Job counts by queue and state.
    pub jobs: BTreeMap<String, BTreeMap<String, usize>>,
    /// Counts of runs that may be in progress, by worker.
    pub runs: BTreeMap<String, usize>,
    /// Inconsistencies found in the state.
    pub contradictions: Vec<String>,
}

impl StateOnDisk {
    /// Reads the state in a coordinator's data folder.
    ///
    /// # Errors
    /// When there is no state, or it can't be read or decoded.
    pub fn read(folder: &Path) -> Result<StateOnDisk, ProgramError> {
        if !folder.join("slot-0").exists() && !folder.join("slot-1").exists() {
            return Err(ProgramError::NoState(folder.to_owned()));
        }
        let directory = FolderDirectory::new(folder).map_err(|source| ProgramError::System {
            context: "the state's folder",
            source,
        })?;
        let (_, recovered) = Store::open(directory)?;
        let records = recovered.records.len();
        let snapshot =
            DurableState::recover(recovered.snapshot.unwrap_or_default(), &recovered.records)?;
        let mut state = Machine::recover(&snapshot)?.state;
        let is_committed = |entry: &&Entry| entry.position.index <= snapshot.committed;
        for entry in snapshot.entries.iter().filter(is_committed) {
            state.apply(entry);
        }
        Ok(StateOnDisk::of(&snapshot, &state, records))
    }

    fn of(snapshot: &DurableState, state: &State, records: usize) -> StateOnDisk {
        let view = &snapshot.agreement.current;
        let is_later = |entry: &&Entry| entry.position > state.position;
        StateOnDisk {
            disk: format!("{:016x}", snapshot.disk),
            starts: snapshot
                .agreement
                .disks
                .as_ref()
                .map_or(0, |disks| disks.starts),
            view: view.number.0,
            chain: view
                .chain
                .iter()
                .map(|replica| replica.member.to_string())
                .collect(),
            voters: view.voters.iter().map(ToString::to_string).collect(),
            complete_up_to_view: snapshot.complete_up_to.map(|view| view.0),
            records,
            applied_entry: state.position.index.0,
            entries_after: snapshot.entries.iter().filter(is_later).count(),
            configuration: state.configuration.version,
            roles: RoleDescription::of_state(state),
            jobs: jobs_by_queue(state),
            runs: runs_by_worker(state),
            contradictions: state
                .inconsistencies()
                .iter()
                .map(Inconsistency::to_string)
                .collect(),
        }
    }

    /// Summarizes the state on one line.
    pub fn summary(&self) -> String {
        let jobs: usize = self.jobs.values().flat_map(BTreeMap::values).sum();
        format!(
            "disk {}, view {} with {} in the chain and {} voters, state up to entry {} and {} entries after it, \
             configuration {}, {jobs} jobs, {} contradictions",
            self.disk,
            self.view,
            self.chain.len(),
            self.voters.len(),
            self.applied_entry,
            self.entries_after,
            self.configuration,
            self.contradictions.len()
        )
    }
}

fn jobs_by_queue(state: &State) -> BTreeMap<String, BTreeMap<String, usize>> {
    let mut queues: BTreeMap<String, BTreeMap<String, usize>> = BTreeMap::new();
    for job in state.jobs.values() {
        let by_phase = queues.entry(job.submission.queue.clone()).or_default();
        *by_phase.entry(job.phase.as_str().to_owned()).or_default() += 1;
    }
    queues
}

fn runs_by_worker(state: &State) -> BTreeMap<String, usize> {
    let counts = state
        .workers
        .iter()
        .map(|(incarnation, worker)| (incarnation.clone(), worker.runs.len()));
    counts.filter(|(_, count)| *count > 0).collect()
}

impl fmt::Display for StateOnDisk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "disk           {}, {} starts", self.disk, self.starts)?;
        writeln!(
            f,
            "view           {}: chain {}",
            self.view,
            self.chain.join(" > ")
        )?;
        writeln!(f, "voters         {}", self.voters.join(", "))?;
        match self.complete_up_to_view {
            Some(view) => writeln!(f, "complete       up to view {view}")?,
            None => writeln!(f, "complete       no: it has yet to be told the state")?,
        }
        writeln!(
            f,
            "state          up to entry {}, configuration {}",
            self.applied_entry, self.configuration
        )?;
        writeln!(
            f,
            "log            {} records, {} entries after it",
            self.records, self.entries_after
        )?;
        for role in &self.roles {
            writeln!(
                f,
                "role           {} held by {} with token {}",
                role.role, role.holder, role.token
            )?;
        }
        for (queue, states) in &self.jobs {
            let counts: Vec<String> = states
                .iter()
                .map(|(state, count)| format!("{count} {state}"))
                .collect();
            writeln!(f, "queue          {queue}: {}", counts.join(", "))?;
        }
        for (incarnation, runs) in &self.runs {
            writeln!(f, "worker         {incarnation}: {runs} runs may go on")?;
        }
        for contradiction in &self.contradictions {
            writeln!(f, "contradiction  {contradiction}")?;
        }
        Ok(())
    }
}
