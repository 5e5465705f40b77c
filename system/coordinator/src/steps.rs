//! The ways into a coordinator, and what follows from each.
use crate::{
    coordinator::Coordinator,
    machine::AppliedEntry,
    outputs::Output,
    under_way::{Proposal, Purpose},
};
use magpiegap_jobs::{Applied, Change};
use magpiegap_protocol::{Command, Millis, PeerMessage, ReplicaId, Role, WallMillis};

/// The time of a commit that is told to operators is an average over about so many.
const COMMITS_AVERAGED: u64 = 16;

impl Coordinator {
    /// Takes what it wants done. To be called after every input.
    pub fn poll_outputs(&mut self) -> Vec<Output> {
        self.finish_step();
        std::mem::take(&mut self.out)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Millis, clock: WallMillis) {
        let own_wall = self.begin_step(now, clock);
        self.replica.tick(now, own_wall, &mut self.machine);
        self.follow_log();
        self.claim_roles();
        self.renew_lease();
        self.propose_again();
        self.read_platform();
        self.give_up_requests();
    }

    /// Messages from another coordinator.
    pub fn handle_messages(
        &mut self,
        now: Millis,
        clock: WallMillis,
        from: ReplicaId,
        messages: Vec<PeerMessage>,
    ) {
        self.begin_step(now, clock);
        for message in messages {
            match message {
                PeerMessage::Platform(list) => self.take_list(list),
                message => {
                    self.replica
                        .handle_messages(now, self.wall, from, message, &mut self.machine)
                }
            }
        }
    }

    /// Disk work up to this ticket is done.
    pub fn handle_persisted(&mut self, now: Millis, clock: WallMillis, ticket: u64) {
        self.begin_step(now, clock);
        self.replica
            .handle_persisted(ticket, now, &mut self.machine);
    }

    /// Follows up what the inputs have changed, until nothing more comes up.
    fn finish_step(&mut self) {
        self.replica.flush(self.now, &mut self.machine);
        self.follow_log();
        self.run_schedulers();
        self.replica.flush(self.now, &mut self.machine);
        self.follow_log();
        self.answer_reads();
        self.answer_polls();
        self.out
            .extend(self.replica.poll_outputs().into_iter().map(Output::Control));
    }

    /// Takes note of a change of the view and of the entries applied since.
    fn follow_log(&mut self) {
        self.follow_view();
        let restored = std::mem::take(&mut self.machine.restored);
        let applied = std::mem::take(&mut self.machine.applied);
        if restored {
            self.follow_roles();
            self.follow_configuration();
            self.resume_schedulers();
        }
        let is_fed = |change: &Change| matches!(change, Change::Role(_) | Change::Configuration);
        let news = restored
            || applied
                .iter()
                .any(|entry| entry.applied.changes.iter().any(is_fed));
        for entry in applied {
            self.counters.note_entry(&entry.applied);
            self.follow_entry(&entry);
        }
        if news {
            self.refresh_feed();
        }
    }

    fn follow_view(&mut self) {
        let view = self.replica.view().number;
        let active = self.replica.is_active();
        if self.entered_view == Some(view) && active {
            return;
        }
        if self.settled_in_view || self.entered_view.is_some() {
            self.settled_in_view = false;
            self.entered_view = None;
            self.refresh_feed();
        }
        if active && self.propose(Command::Noop, None, Some(Purpose::FirstOfView), None) {
            self.entered_view = Some(view);
            self.counters.views += 1;
            self.refresh_feed();
        }
    }

    fn resume_schedulers(&mut self) {
        for scheduler in self.schedulers.values_mut() {
            scheduler.resume(self.now, &self.machine.state);
        }
    }

    fn follow_entry(&mut self, entry: &AppliedEntry) {
        let applied = &entry.applied;
        let own = entry.proposal.origin == self.replica.own();
        let proposal = own
            .then(|| self.proposals.remove(&entry.proposal.sequence))
            .flatten();
        let runs = match proposal
            .as_ref()
            .and_then(|proposal| proposal.purpose.as_ref())
        {
            Some(Purpose::Scheduler { runs, .. }) => runs.clone(),
            _ => Vec::new(),
        };
        for scheduler in self.schedulers.values_mut() {
            let of_scheduler = match &entry.role_token {
                Some(role_token) => {
                    role_token.role == Role::Scheduler(scheduler.service().to_owned())
                }
                None => true,
            };
            if of_scheduler {
                scheduler.applied(
                    self.now,
                    entry.position,
                    &self.machine.state,
                    &applied.changes,
                    &runs,
                );
            }
        }
        if applied
            .changes
            .iter()
            .any(|change| matches!(change, Change::Role(_)))
        {
            self.follow_roles();
        }
        if applied.changes.contains(&Change::Configuration) {
            self.follow_configuration();
        }
        if let Some(proposal) = proposal {
            self.follow_proposal(&proposal, applied);
        }
    }

    fn follow_proposal(&mut self, proposal: &Proposal, applied: &Applied) {
        let took_ms = self.now.saturating_sub(proposal.proposed_at);
        self.commit_ms = (self.commit_ms * (COMMITS_AVERAGED - 1) + took_ms) / COMMITS_AVERAGED;
        let lease = proposal.proposed_at + self.settings.lease_ms;
        self.lease_until = self.lease_until.max(lease);
        if proposal.purpose == Some(Purpose::FirstOfView)
            && Some(proposal.view) == self.entered_view
        {
            self.settled_in_view = true;
            self.vacant_since.clear();
            self.resume_schedulers();
            self.pursue_all();
        }
        if let Some(id) = proposal.pending {
            self.settle_by(id, applied.outcome);
        }
    }
}
