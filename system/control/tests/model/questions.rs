//! What is asked of replicas, and how many disks hold what was acknowledged.
use crate::world::{Machine, Question, World};
use magpiegap_control::StateMachine;
use magpiegap_protocol::{LogIndex, ProposalId};

impl World {
    pub(crate) fn ask(&mut self, machine: usize) {
        let acknowledged = self.history.keys().next_back().copied().unwrap_or(0);
        self.questions.push(Question {
            machine,
            since: self.now,
            acknowledged,
        });
    }

    /// Answers the questions that a coordinator would answer now.
    pub(crate) fn answer_questions(&mut self) {
        let now = self.now;
        for question in std::mem::take(&mut self.questions) {
            let Some((replica, state)) = self.machines[question.machine].process.as_ref() else {
                continue;
            };
            let settled = state.position().view == replica.view().number;
            let answers =
                replica.is_tail() && settled && replica.has_contact_since(question.since, now);
            if !answers || self.machines[question.machine].is_frozen {
                self.questions.push(question);
            } else if state.position().index < LogIndex(question.acknowledged) {
                self.wrong = Some(format!(
                    "{question:?} was answered by {:?}",
                    state.position()
                ));
            }
        }
    }

    /// How many disks hold an entry that was acknowledged, whatever loses its power.
    pub(crate) fn copies(&self, index: u64, proposal: ProposalId) -> usize {
        let holds = |machine: &&Machine| {
            let disk = &machine.synced;
            let in_state = disk.applied.index >= LogIndex(index);
            in_state
                || disk.entries.iter().any(|entry| {
                    entry.position.index == LogIndex(index) && entry.proposal == proposal
                })
        };
        self.machines.iter().filter(holds).count()
    }
}
