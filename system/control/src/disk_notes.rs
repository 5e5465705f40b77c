//! What this replica has noted of the disks of others, so that one that was put back from an old copy is recognised.
//!
//! A note names the newest process heard on a disk, by the number of starts on it, and how far the disk had come. Another
//! process on it must be of a later start and must have read at least as much, else its disk is not the one that was
//! noted. Notes are on this replica's own disk since they were last written with its votes, and in memory up to the last
//! heartbeat.
use magpiegap_protocol::{DiskNote, DiskReport, Member, ReplicaId, View};
use std::collections::BTreeMap;

/// So many processes that were objected to are remembered.
const MAX_STALE: usize = 64;

/// What became of a heartbeat's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reported {
    /// It is of the process that was noted.
    Known,
    /// It is of a new process, which counts from now on.
    NewProcess,
    /// The disk was further before.
    Stale(DiskNote),
}

/// The notes.
#[derive(Clone, Debug, Default)]
pub(crate) struct DiskNotes {
    notes: BTreeMap<Member, DiskNote>,
    /// Processes that were objected to, with the reason. It stands while they run, whatever follows.
    stale: BTreeMap<ReplicaId, DiskNote>,
}

impl DiskNotes {
    /// The notes that were on disk.
    pub(crate) fn new(notes: Vec<DiskNote>) -> DiskNotes {
        DiskNotes {
            notes: notes.into_iter().map(|note| (note.member, note)).collect(),
            stale: BTreeMap::new(),
        }
    }

    /// The notes, to be kept on disk.
    pub(crate) fn to_vec(&self) -> Vec<DiskNote> {
        self.notes.values().copied().collect()
    }

    /// Whether the disk of a process was found to be an old copy.
    pub(crate) fn is_stale(&self, replica: &ReplicaId) -> bool {
        self.stale.contains_key(replica)
    }

    /// Compares what a process says of its disk with the note, and with what is `known` of that disk besides, and notes it.
    pub(crate) fn record(
        &mut self,
        from: ReplicaId,
        report: &DiskReport,
        known: Option<DiskNote>,
    ) -> Reported {
        if let Some(noted) = self.stale.get(&from) {
            return Reported::Stale(*noted);
        }
        if let Some(known) = known.filter(|known| report.at_start.is_behind(&known.progress)) {
            return self.object_to(from, known);
        }
        match self.notes.get_mut(&from.member) {
            Some(note) if is_same_process(note, from, report) => {
                note.progress.advance(&report.confirmed);
                Reported::Known
            }
            Some(note) if !is_later(note, report) => {
                let noted = *note;
                self.object_to(from, noted)
            }
            _ => {
                self.notes.insert(from.member, new_note(from, report));
                Reported::NewProcess
            }
        }
    }

    /// Drops the note on a disk on which a process of an earlier build runs: that keeps no count of starts, and what it
    /// writes has lost the one of before. Returns whether there was a note.
    pub(crate) fn forget(&mut self, member: &Member) -> bool {
        self.notes.remove(member).is_some()
    }

    fn object_to(&mut self, replica: ReplicaId, noted: DiskNote) -> Reported {
        if self.stale.len() >= MAX_STALE {
            self.stale.pop_first();
        }
        self.stale.insert(replica, noted);
        Reported::Stale(noted)
    }

    /// Drops the notes on disks that are neither voters nor in the chain: whoever comes back after that is sent all that
    /// it is missing, and its votes count for nothing.
    pub(crate) fn retain_members(&mut self, view: &View) {
        self.notes.retain(|member, _| view.has_member(member));
    }
}

fn is_same_process(note: &DiskNote, from: ReplicaId, report: &DiskReport) -> bool {
    note.starts == report.starts && note.incarnation == from.incarnation
}

/// Whether a process can have started on the noted disk after all that was noted of it.
fn is_later(note: &DiskNote, report: &DiskReport) -> bool {
    report.starts > note.starts && !report.at_start.is_behind(&note.progress)
}

fn new_note(from: ReplicaId, report: &DiskReport) -> DiskNote {
    DiskNote {
        member: from.member,
        starts: report.starts,
        incarnation: from.incarnation,
        progress: report.confirmed,
    }
}
