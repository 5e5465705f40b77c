//! Compares the states of all coordinators, and describes them for whoever looks into a failure.
use super::Fleet;
use crate::node::Node;
use magpiegap_coordinator::Coordinator;
use magpiegap_jobs::Configuration;
use magpiegap_protocol::{encode, JobId, LogPosition, Member};
use std::collections::BTreeMap;

/// A state that the states of other coordinators at the same position are compared with.
struct EncodedState {
    member: Member,
    bytes: Vec<u8>,
}

impl Fleet {
    /// The configuration versions of all coordinators that run.
    pub fn configurations(&self) -> Vec<u64> {
        self.coordinators()
            .map(|coordinator| coordinator.state().configuration.version)
            .collect()
    }

    /// The state of each coordinator.
    pub fn describe(&self) -> Vec<String> {
        let describe_node = |node: &Node| match &node.coordinator {
            Some(coordinator) => format!("{} {:?}", node.member, coordinator.describe()),
            None => format!("{} does not run", node.member),
        };
        self.nodes.iter().map(describe_node).collect()
    }

    /// A job as its client and the first coordinator that runs have it.
    pub fn describe_job(&self, id: JobId) -> String {
        let client = self.clients.iter().find(|client| client.id() == id);
        let coordinator = self.coordinators().next();
        let job = coordinator.and_then(|coordinator| coordinator.state().jobs.get(&id));
        format!("{client:#?}\n{job:#?}")
    }

    /// The coordinators that run, frozen ones too.
    pub(super) fn coordinators(&self) -> impl Iterator<Item = &Coordinator> {
        self.nodes
            .iter()
            .filter_map(|node| node.coordinator.as_ref())
    }

    /// Checks that coordinators that have applied the same entries have the same state, and that none contradicts
    /// itself.
    pub(super) fn compare_states(&mut self) {
        let mut violations = Vec::new();
        let mut states = BTreeMap::new();
        for node in &self.nodes {
            if let Some(coordinator) = &node.coordinator {
                violations.extend(contradictions(node.member, coordinator));
                violations.extend(compare_state(&mut states, node.member, coordinator));
            }
        }
        for what in violations {
            self.oracle.report(self.now, what);
        }
        for node in &self.nodes {
            if let Some(coordinator) = &node.coordinator {
                let configuration = &coordinator.state().configuration;
                self.oracle.configuration_in_force(
                    self.now,
                    configuration.version,
                    &configuration.body,
                );
            }
        }
    }
}

/// What is wrong with a coordinator's state by itself.
fn contradictions(member: Member, coordinator: &Coordinator) -> Vec<String> {
    let mut found = Vec::new();
    if !follows_state(coordinator) {
        found.push(format!(
            "{member} goes by another configuration than its state has"
        ));
    }
    let inconsistencies = coordinator.state().inconsistencies();
    found.extend(
        inconsistencies
            .iter()
            .map(|what| format!("{member}: {what}")),
    );
    found
}

/// How a coordinator's state differs from that of an earlier one at the same position.
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
            "{} and {member} differ at {:?}",
            first.member, state.position
        )
    })
}

/// Whether a coordinator goes by the configuration of its state, whether it has read it in full or by differences.
fn follows_state(coordinator: &Coordinator) -> bool {
    let saved = &coordinator.state().configuration;
    let parsed = coordinator
        .configuration()
        .filter(|known| known.version == saved.version);
    match parsed {
        Some(known) => Configuration::parse(&saved.body).is_ok_and(|read| read == *known),
        // It has not followed what was applied yet.
        None => true,
    }
}
