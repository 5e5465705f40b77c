//! Compares the states of all coordinators, and formats them for failure messages.
use super::Fleet;
use crate::{client::JOB_SERVICE, node::Node};
use magpiegap_coordinator::Coordinator;
use magpiegap_jobs::{Configuration, State};
use magpiegap_protocol::{encode, JobId, LogPosition, Member, Role};
use std::collections::BTreeMap;

/// The first state seen at a log position, which the other states at that position must equal.
struct EncodedState {
    member: Member,
    bytes: Vec<u8>,
}

impl Fleet {
    /// The configuration versions of all running coordinators.
    pub fn configurations(&self) -> Vec<u64> {
        self.coordinators()
            .map(|coordinator| coordinator.state().configuration.version)
            .collect()
    }

    /// The node that holds the scheduler role, according to the most recent state of a running coordinator.
    pub fn scheduler_node(&self) -> Option<usize> {
        let role = Role::Scheduler(JOB_SERVICE.to_owned());
        let holder = self.newest_state()?.roles.get(&role)?.holder.member.address;
        self.nodes.iter().position(|node| node.address == holder)
    }

    /// The state of the running coordinator that has applied the most entries.
    pub(super) fn newest_state(&self) -> Option<&State> {
        self.coordinators()
            .map(Coordinator::state)
            .max_by_key(|state| state.position.index)
    }

    /// Formats the state of each coordinator.
    pub fn describe(&self) -> Vec<String> {
        let describe_node = |node: &Node| match &node.coordinator {
            Some(coordinator) => format!("{} {:?}", node.member, coordinator.describe()),
            None => format!("{} is not running", node.member),
        };
        self.nodes.iter().map(describe_node).collect()
    }

    /// Formats a job as seen by its client and by the first running coordinator.
    pub fn describe_job(&self, id: JobId) -> String {
        let client = self.clients.iter().find(|client| client.id() == id);
        let coordinator = self.coordinators().next();
        let job = coordinator.and_then(|coordinator| coordinator.state().jobs.get(&id));
        format!("{client:#?}\n{job:#?}")
    }

    /// The running coordinators, including frozen ones.
    pub(super) fn coordinators(&self) -> impl Iterator<Item = &Coordinator> {
        self.nodes
            .iter()
            .filter_map(|node| node.coordinator.as_ref())
    }

    /// Checks that coordinators that have applied the same entries have equal states, and that each state is internally
    /// consistent.
    pub(super) fn compare_states(&mut self) {
        let mut violations = Vec::new();
        let mut states = BTreeMap::new();
        for node in &self.nodes {
            if let Some(coordinator) = &node.coordinator {
                violations.extend(internal_inconsistencies(node.member, coordinator));
                violations.extend(compare_state(&mut states, node.member, coordinator));
            }
        }
        for description in violations {
            self.oracle.report(self.now, description);
        }
        for node in &self.nodes {
            if let Some(coordinator) = &node.coordinator {
                let configuration = &coordinator.state().configuration;
                self.oracle.check_active_configuration(
                    self.now,
                    configuration.version,
                    &configuration.body,
                );
            }
        }
    }
}

/// Returns the internal inconsistencies of a coordinator's state.
fn internal_inconsistencies(member: Member, coordinator: &Coordinator) -> Vec<String> {
    let mut found = Vec::new();
    if !matches_replicated_state(coordinator) {
        found.push(format!(
            "{member} uses a configuration that differs from its replicated state"
        ));
    }
    let inconsistencies = coordinator.state().inconsistencies();
    found.extend(
        inconsistencies
            .iter()
            .map(|description| format!("{member}: {description}")),
    );
    found
}

/// Compares a coordinator's state with the first state seen at the same log position.
fn compare_state(
    states: &mut BTreeMap<LogPosition, EncodedState>,
    member: Member,
    coordinator: &Coordinator,
) -> Option<String> {
    let state = coordinator.state();
    let bytes = encode(state);
    let first = states
        .entry(state.position)
        .or_insert_with(|| EncodedState {
            member,
            bytes: bytes.clone(),
        });
    (first.bytes != bytes).then(|| {
        format!(
            "the states of {} and {member} differ at {:?}",
            first.member, state.position
        )
    })
}

/// Whether the configuration that a coordinator uses, parsed in full or from deltas, equals the one in its replicated
/// state.
fn matches_replicated_state(coordinator: &Coordinator) -> bool {
    let saved = &coordinator.state().configuration;
    let parsed = coordinator
        .configuration()
        .filter(|known| known.version == saved.version);
    match parsed {
        Some(known) => Configuration::parse(&saved.body).is_ok_and(|read| read == *known),
        // The coordinator has not yet parsed the applied version.
        None => true,
    }
}
