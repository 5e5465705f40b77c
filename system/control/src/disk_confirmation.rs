//! Disks that were put back from old copies: who is told, and what a replica does whose own disk is one.
//!
//! What is noted of the disks of others is in `disk_notes`, what is said of the own one in `own_disk`.
use crate::{disk_notes::Reported, replica::Output, replica::Replica, StateMachine};
use magpiegap_protocol::{
    DiskNote, DiskProgress, Heartbeat, Member, Millis, PeerMessage, ReplicaId, StaleDisk,
    WallMillis,
};

impl Replica {
    /// Compares the disk of a heartbeat's sender with what was noted of it. Returns whether the sender counts as a replica
    /// of that disk.
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
            Reported::Known => true,
            Reported::NewProcess => {
                self.persist_agreement(Vec::new(), now);
                true
            }
            Reported::Stale(noted) => {
                self.object_to_disk(from, noted, now);
                false
            }
        }
    }

    /// What a disk must hold since an earlier process on it was in the chain of this view: nothing is committed that is not
    /// on the disks of the whole chain. Unlike the notes, this is known after a loss of power too.
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

    fn object_to_disk(&mut self, from: ReplicaId, noted: DiskNote, now: Millis) {
        // While the disk's member is in the chain, nothing shows that the others can do without it.
        let goes_on_without = self.view().in_chain(&from.member).is_none();
        let objection = StaleDisk {
            replica: from,
            noted,
            view: self.view().number,
            serving: goes_on_without && self.has_quorum_contact(now),
        };
        self.send(
            from.member.address,
            PeerMessage::StaleDisk(Box::new(objection)),
        );
    }

    /// Confirms the own disk once a majority of the voters has heard this process, and does what has waited for that.
    pub(crate) fn confirm_disk(
        &mut self,
        now: Millis,
        wall: WallMillis,
        machine: &mut dyn StateMachine,
    ) {
        if self.own_disk.is_confirmed() || !self.started || !self.is_heard_by_majority() {
            return;
        }
        for (from, message) in self.own_disk.confirm() {
            self.handle_messages(now, wall, from, message, machine);
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

    /// Handles an objection to the own disk. From then on the replica neither votes nor holds itself complete, and is in no
    /// chain that has enough members without it. Where the others serve without it, its owner may give the disk up.
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
        if others_serve && self.own_disk.give_up() {
            self.output(Output::DiskSuperseded);
        }
    }

    /// Records how far the own log is confirmed on disk, for the next heartbeats.
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
        "this disk is an old copy: {} has noted start {} on it, with view {} and entry {}, and this is start {starts}; \
         this coordinator does not vote",
        from.member, objection.noted.starts, objection.noted.progress.view, objection.noted.progress.committed.index
    )
}
