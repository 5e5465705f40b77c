//! Processes inputs of the coordinator and their effects: applied entries, view changes and responses.
use crate::{
    coordinator::Coordinator,
    machine::AppliedEntry,
    outputs::Output,
    proposal::{Proposal, ProposalDraft, Purpose},
};
use magpiegap_jobs::{Change, Outcome};
use magpiegap_protocol::{Command, Millis, PeerMessage, ReplicaId, Role, WallMillis};

/// Approximate number of proposals over which the reported commit latency is averaged.
const COMMIT_LATENCY_WINDOW: u64 = 16;

impl Coordinator {
    /// Returns the effects to perform. Must be called after every input.
    pub fn poll_outputs(&mut self) -> Vec<Output> {
        self.process_effects();
        std::mem::take(&mut self.outputs)
    }

    /// Handles the passage of time. Must be called every few tens of milliseconds.
    pub fn on_timeout(&mut self, now: Millis, clock: WallMillis) {
        let own_wall = self.advance_clocks(now, clock);
        self.replica.on_timeout(now, own_wall, &mut self.machine);
        self.process_log();
        self.claim_roles();
        self.renew_lease();
        self.retry_proposals();
        self.read_platform_list();
        self.expire_operations();
    }

    /// Handles messages from another coordinator.
    pub fn handle_messages(
        &mut self,
        now: Millis,
        clock: WallMillis,
        from: ReplicaId,
        messages: Vec<PeerMessage>,
    ) {
        self.advance_clocks(now, clock);
        for message in messages {
            match message {
                PeerMessage::WorkerList(list) => self.install_platform_list(list),
                message => self.replica.handle_message(
                    now,
                    self.median_wall,
                    from,
                    message,
                    &mut self.machine,
                ),
            }
        }
    }

    /// Handles the completion of all disk writes up to a ticket.
    pub fn handle_persisted(&mut self, now: Millis, clock: WallMillis, ticket: u64) {
        self.advance_clocks(now, clock);
        self.replica
            .handle_persisted(ticket, now, &mut self.machine);
    }

    /// Processes the effects of inputs, including those of proposals that schedulers make meanwhile, and collects the
    /// outputs.
    fn process_effects(&mut self) {
        self.replica.flush(self.now, &mut self.machine);
        self.process_log();
        self.run_schedulers();
        self.replica.flush(self.now, &mut self.machine);
        self.process_log();
        self.respond_to_reads();
        self.respond_to_polls();
        self.outputs
            .extend(self.replica.poll_outputs().into_iter().map(Output::Control));
    }

    /// Processes view changes, restored snapshots and entries applied since the last call.
    fn process_log(&mut self) {
        self.enter_view();
        let restored = std::mem::take(&mut self.machine.was_restored);
        let applied = std::mem::take(&mut self.machine.applied);
        if restored {
            self.update_roles();
            self.update_configuration();
            self.reload_schedulers();
        }
        let affects_feed = |change: &Change| {
            matches!(
                change,
                Change::RoleClaimed(_) | Change::ConfigurationReplaced
            )
        };
        let feed_changed = restored
            || applied
                .iter()
                .any(|entry| entry.applied.changes.iter().any(affects_feed));
        for entry in applied {
            self.counters.count_entry(&entry.applied);
            self.handle_applied_entry(&entry);
        }
        if feed_changed {
            self.refresh_feed();
        }
    }

    /// Proposes a first entry in a new view as soon as this coordinator is active in it.
    fn enter_view(&mut self) {
        let view = self.replica.view().number;
        let active = self.replica.is_active();
        if self.entered_view == Some(view) && active {
            return;
        }
        if self.has_committed_in_view || self.entered_view.is_some() {
            self.has_committed_in_view = false;
            self.entered_view = None;
            self.refresh_feed();
        }
        if active
            && self.propose(ProposalDraft::with_purpose(
                Command::Noop,
                Purpose::FirstInView,
            ))
        {
            self.entered_view = Some(view);
            self.counters.views += 1;
            self.refresh_feed();
        }
    }

    fn reload_schedulers(&mut self) {
        for scheduler in self.schedulers.values_mut() {
            scheduler.reload_state(self.now, &self.machine.state);
        }
    }

    fn handle_applied_entry(&mut self, entry: &AppliedEntry) {
        let proposal = self.take_own_proposal(entry);
        self.notify_schedulers(entry, proposal.as_ref());
        let changes = &entry.applied.changes;
        if changes
            .iter()
            .any(|change| matches!(change, Change::RoleClaimed(_)))
        {
            self.update_roles();
        }
        if changes.contains(&Change::ConfigurationReplaced) {
            self.update_configuration();
        }
        if let Some(proposal) = proposal {
            self.handle_applied_proposal(&proposal, entry.applied.outcome);
        }
    }

    /// Removes and returns the local proposal of an applied entry, or `None` if another coordinator proposed it.
    fn take_own_proposal(&mut self, entry: &AppliedEntry) -> Option<Proposal> {
        if entry.proposal.origin != self.replica.own() {
            return None;
        }
        self.proposals.remove(&entry.proposal.sequence)
    }

    /// Notifies the scheduler whose role proposed an entry, or all schedulers if it was proposed without a role.
    fn notify_schedulers(&mut self, entry: &AppliedEntry, proposal: Option<&Proposal>) {
        let own_runs = match proposal.and_then(|proposal| proposal.draft.purpose.as_ref()) {
            Some(Purpose::Scheduler { runs }) => runs.as_slice(),
            _ => &[],
        };
        for scheduler in self.schedulers.values_mut() {
            let is_affected = match &entry.role_token {
                Some(role_token) => {
                    role_token.role == Role::Scheduler(scheduler.service().to_owned())
                }
                None => true,
            };
            if is_affected {
                scheduler.handle_applied(
                    self.now,
                    entry.position,
                    &self.machine.state,
                    &entry.applied.changes,
                    own_runs,
                );
            }
        }
    }

    fn handle_applied_proposal(&mut self, proposal: &Proposal, outcome: Outcome) {
        let latency_ms = self.now.saturating_sub(proposal.proposed_at);
        self.commit_latency_ms = (self.commit_latency_ms * (COMMIT_LATENCY_WINDOW - 1)
            + latency_ms)
            / COMMIT_LATENCY_WINDOW;
        let lease_expiry = proposal.proposed_at + self.settings.lease_ms;
        self.lease_expiry = self.lease_expiry.max(lease_expiry);
        if proposal.draft.purpose == Some(Purpose::FirstInView)
            && Some(proposal.view) == self.entered_view
        {
            self.has_committed_in_view = true;
            self.roles_vacant_since.clear();
            self.reload_schedulers();
            self.repropose_operations();
        }
        self.cancel_applied_tombstone(proposal, outcome);
        if let Some(operation) = proposal.draft.operation {
            self.complete_operation_with_outcome(operation, outcome);
        }
    }
}
