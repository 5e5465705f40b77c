//! Detection of disks that were restored from old copies: a replica objects to a peer's stale disk, and handles
//! objections to its own.
//!
//! The notes on the disks of others are in `disk_notes`, the state of the own disk in `own_disk`.
use crate::{disk_notes::ReportOutcome, replica::Output, replica::Replica, StateMachine};
use magpiegap_protocol::{
    DiskNote, DiskProgress, Heartbeat, Member, Millis, PeerMessage, ReplicaId, StaleDisk,
    WallMillis,
};

impl Replica {
    /// Compares the disk report in a heartbeat with the note on that disk. Returns whether the sender is accepted as a
    /// replica of that disk.
    pub(crate) fn check_disk(
        &mut self,
        from: ReplicaId,
        heartbeat: &Heartbeat,
        now: Millis,
    ) -> bool {
        let Some(report) = heartbeat.disk.as_ref() else {
            if self.disk_notes.forget(&from.member) {
                self.persist_agreement(Vec::new(), now);
            }
            return true;
        };
        let known = self.progress_in_chain(from);
        match self.disk_notes.record(from, report, known) {
            ReportOutcome::Known => true,
            ReportOutcome::NewProcess => {
                self.persist_agreement(Vec::new(), now);
                true
            }
            ReportOutcome::Stale(noted) => {
                self.send_objection(from, noted, now);
                false
            }
        }
    }

    /// The progress that a disk must have because an earlier process on it was in the chain of this view: an entry is
    /// committed only once it is durable on the entire chain. Unlike the notes, this is still known after a power loss.
    fn progress_in_chain(&self, from: ReplicaId) -> Option<DiskNote> {
        let view = self.view();
        let earlier = view
            .in_chain(&from.member)
            .filter(|replica| *replica != from)?;
        let committed = self.chain.log.position(self.chain.committed)?;
        let progress = DiskProgress {
            view: view.number,
            committed,
            ..DiskProgress::default()
        };
        (committed.view == view.number).then_some(DiskNote {
            member: from.member,
            starts: 0,
            incarnation: earlier.incarnation,
            progress,
        })
    }

    /// Tells a process that its disk is stale.
    fn send_objection(&mut self, from: ReplicaId, noted: DiskNote, now: Millis) {
        // While the disk's member is in the chain, there is no proof that the others can serve without it.
        let is_outside_chain = self.view().in_chain(&from.member).is_none();
        let objection = StaleDisk {
            replica: from,
            noted,
            view: self.view().number,
            serving: is_outside_chain && self.has_quorum_contact(now),
        };
        self.send(
            from.member.address,
            PeerMessage::StaleDisk(Box::new(objection)),
        );
    }

    /// Confirms the own disk once a majority of the voters has heard from this process, and handles the deferred
    /// messages.
    pub(crate) fn confirm_disk(
        &mut self,
        now: Millis,
        wall: WallMillis,
        machine: &mut dyn StateMachine,
    ) {
        if self.own_disk.is_confirmed()
            || !self.is_recovered_state_durable
            || !self.is_heard_by_majority()
        {
            return;
        }
        for (from, message) in self.own_disk.confirm() {
            self.handle_message(now, wall, from, message, machine);
        }
    }

    fn is_heard_by_majority(&self) -> bool {
        let own = self.settings.own.member;
        let hears_us = |voter: &&Member| {
            **voter == own
                || self
                    .membership
                    .peer(voter)
                    .is_some_and(|peer| peer.last_heard_us.is_some())
        };
        let view = self.view();
        view.voters.contains(&own) && view.voters.iter().filter(hears_us).count() >= view.majority()
    }

    /// Handles an objection to the own disk. From then on the replica does not vote, does not report to be complete,
    /// and joins a chain only when that would have too few members without it. Once the others serve without it,
    /// [`Output::DiskSuperseded`] is emitted.
    pub(crate) fn handle_stale_disk(&mut self, from: ReplicaId, objection: &StaleDisk) {
        if objection.replica != self.settings.own {
            return;
        }
        if self.own_disk.record_objection() {
            self.agreement.round = None;
            self.log(describe(from, objection, self.own_disk.starts));
        }
        let others_serve = objection.serving
            && objection.view == self.view().number
            && self.own_position().is_none();
        if others_serve && self.own_disk.record_superseded() {
            self.output(Output::DiskSuperseded);
        }
    }

    /// Records, for the next heartbeats, up to which entry the log is both committed and durable.
    pub(crate) fn record_disk_progress(&mut self) {
        if !self.holds_committed() {
            return;
        }
        let index = self.chain.committed.min(self.chain.disk.durable);
        if let Some(position) = self.chain.log.position(index) {
            self.own_disk.record_committed(position);
        }
    }
}

fn describe(from: ReplicaId, objection: &StaleDisk, starts: u64) -> String {
    format!(
        "disk restored from old copy, this coordinator will not vote peer={} recorded_starts={} view={} entry={} \
         starts={starts}",
        from.member, objection.noted.starts, objection.noted.progress.view, objection.noted.progress.committed.index
    )
}
