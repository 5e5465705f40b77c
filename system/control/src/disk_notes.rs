//! Notes on the disks of other members, by which a disk that was restored from an old copy is detected.
//!
//! A note records the newest process known on a disk, identified by the number of starts on that disk, and the
//! progress of the disk. A different process on the same disk must have a higher start number and must have read at
//! least that progress; otherwise the disk is stale. Notes are kept in memory, up to the last heartbeat, and on this
//! replica's disk, as of the last write of its votes.
use magpiegap_protocol::{DiskNote, DiskReport, Member, ReplicaId, View};
use std::collections::BTreeMap;

/// Maximum number of processes with stale disks that are remembered.
const MAX_STALE_PROCESSES: usize = 64;

/// The outcome of checking the disk report in a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportOutcome {
    /// The report is from the process in the note.
    Known,
    /// The report is from a new process, which replaces the one in the note.
    NewProcess,
    /// The disk lacks progress that it had before, as this note shows.
    Stale(DiskNote),
}

/// The notes on the disks of other members.
#[derive(Clone, Debug, Default)]
pub(crate) struct DiskNotes {
    notes: BTreeMap<Member, DiskNote>,
    /// Processes whose disks are stale, with the note that shows it. Later reports do not change that while they run.
    stale: BTreeMap<ReplicaId, DiskNote>,
}

impl DiskNotes {
    /// Creates the notes from those read from disk.
    pub(crate) fn new(notes: Vec<DiskNote>) -> DiskNotes {
        DiskNotes {
            notes: notes.into_iter().map(|note| (note.member, note)).collect(),
            stale: BTreeMap::new(),
        }
    }

    /// The notes to be written to disk.
    pub(crate) fn to_vec(&self) -> Vec<DiskNote> {
        self.notes.values().copied().collect()
    }

    /// Whether the disk of a process was found to be stale.
    pub(crate) fn is_stale(&self, replica: &ReplicaId) -> bool {
        self.stale.contains_key(replica)
    }

    /// Compares a process's report on its disk with the note, and with other progress that is `known` of that disk, and
    /// updates the note.
    pub(crate) fn record(
        &mut self,
        from: ReplicaId,
        report: &DiskReport,
        known: Option<DiskNote>,
    ) -> ReportOutcome {
        if let Some(noted) = self.stale.get(&from) {
            return ReportOutcome::Stale(*noted);
        }
        if let Some(known) = known.filter(|known| report.at_start.is_behind(&known.progress)) {
            return self.mark_stale(from, known);
        }
        match self.notes.get_mut(&from.member) {
            Some(note) if is_same_process(note, from, report) => {
                note.progress.advance(&report.confirmed);
                ReportOutcome::Known
            }
            Some(note) if !is_valid_restart(note, report) => {
                let noted = *note;
                self.mark_stale(from, noted)
            }
            _ => {
                self.notes.insert(from.member, new_note(from, report));
                ReportOutcome::NewProcess
            }
        }
    }

    /// Drops the note on a disk on which a process of an earlier build runs. That build does not count starts, and its
    /// writes discard the earlier count. Returns whether there was a note.
    pub(crate) fn forget(&mut self, member: &Member) -> bool {
        self.notes.remove(member).is_some()
    }

    fn mark_stale(&mut self, replica: ReplicaId, noted: DiskNote) -> ReportOutcome {
        if self.stale.len() >= MAX_STALE_PROCESSES {
            self.stale.pop_first();
        }
        self.stale.insert(replica, noted);
        ReportOutcome::Stale(noted)
    }

    /// Drops the notes on disks that are neither voters nor in the chain of this view. A replica that returns after
    /// that has no vote and is sent everything that it is missing, so its disk can't do harm.
    pub(crate) fn retain_members(&mut self, view: &View) {
        self.notes.retain(|member, _| view.has_member(member));
    }
}

fn is_same_process(note: &DiskNote, from: ReplicaId, report: &DiskReport) -> bool {
    note.starts == report.starts && note.incarnation == from.incarnation
}

/// Whether a process can have started on the noted disk after the noted progress.
fn is_valid_restart(note: &DiskNote, report: &DiskReport) -> bool {
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
