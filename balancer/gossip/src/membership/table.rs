//! What this replica knows of every candidate. Owns statuses and incarnations, and the one rule by which they change.
use std::collections::BTreeMap;

use crate::types::{Member, Millis};
use crate::wire::v1::{Reads, Record, Status, View, TICK};

/// When a suspicion that was only received is verified.
pub(super) const VERIFY_AFTER: Millis = 500.0;
/// Places that one view covers at most; of a longer list each datagram shows the next part.
const VIEW: usize = 512;
/// Evidence of life that is younger than this is sent to those that know less.
const ALIVE_RECENTLY: Millis = 1_000.0;
/// An incarnation beyond this is none that a replica came to by itself.
const INCARNATION_MOST: u64 = u64::MAX / 2;

/// One candidate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    /// None until something of it was received.
    pub status: Option<Status>,
    /// Zero where it is only known to be up.
    pub incarnation: u64,
    /// The versions it has announced.
    pub reads: Reads,
    /// Since when it has this status.
    pub since: Millis,
    /// When it certainly lived last.
    pub last_alive: Millis,
    /// Whether this suspicion was verified already, or left to others.
    pub verified: bool,
    /// Whether a probe of this replica's own belongs to this suspicion.
    pub probed: bool,
}

impl Entry {
    pub(crate) fn up(&self) -> bool {
        matches!(self.status, Some(Status::Up | Status::Suspect))
    }

    /// Whether a datagram of this incarnation is not one of a run that is known to be over.
    pub(crate) fn current(&self, incarnation: u64) -> bool {
        match self.status {
            None => true,
            Some(Status::Up | Status::Suspect) => incarnation >= self.incarnation,
            Some(Status::Gone | Status::Left) => incarnation > self.incarnation,
        }
    }
}

/// What an update came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Applied {
    /// It was known, or is overruled by what is known.
    Nothing,
    /// It changes what is held.
    Changed,
    /// It isn't sufficient evidence: the member is to be probed.
    MustProbe,
}

/// All candidates.
#[derive(Debug)]
pub(crate) struct Table {
    pub own: Member,
    pub entries: Vec<Entry>,
    view_base: usize,
}

impl Table {
    pub(crate) fn new(own: Member, candidates: u16, reads: Reads, now: Millis) -> Table {
        let last_alive = f64::NEG_INFINITY;
        let nothing = Reads::default();
        let entry = Entry {
            status: None,
            incarnation: 0,
            reads: nothing,
            since: now,
            last_alive,
            verified: false,
            probed: false,
        };
        let mut entries = vec![entry; usize::from(candidates)];
        entries[usize::from(own.0)] = Entry {
            status: Some(Status::Up),
            reads,
            ..entry
        };
        Table {
            own,
            entries,
            view_base: 0,
        }
    }

    pub(crate) fn get(&self, member: Member) -> Option<&Entry> {
        self.entries.get(usize::from(member.0))
    }

    pub(crate) fn set(&mut self, now: Millis, member: Member, status: Status, incarnation: u64) {
        if let Some(entry) = self.entries.get_mut(usize::from(member.0)) {
            (entry.status, entry.incarnation) = (Some(status), incarnation);
            (entry.since, entry.verified, entry.probed) = (now, false, false);
        }
    }

    /// Members that are up, those suspected and this replica included, in the list's order.
    pub(crate) fn up(&self) -> Vec<Member> {
        let members = self.entries.iter().enumerate();
        members
            .filter(|(_, entry)| entry.up())
            .map(|(at, _)| Member(at as u16))
            .collect()
    }

    /// Those of whom nobody doubts that they are up, this replica included.
    pub(crate) fn unsuspected(&self) -> Vec<Member> {
        let members = self.entries.iter().enumerate();
        members
            .filter(|(_, entry)| entry.status == Some(Status::Up))
            .map(|(at, _)| Member(at as u16))
            .collect()
    }

    /// Applies an update on another member. A higher incarnation wins. Within one, its own leave-taking is final, and
    /// suspicion goes before being up unless this replica has evidence of life that is younger. That a member is gone
    /// is believed of one that is suspected already; otherwise the sender may have been isolated itself, and the member
    /// is probed.
    pub(crate) fn apply(&mut self, now: Millis, record: &Record, bounded: bool) -> Applied {
        let Some(entry) = self.entries.get_mut(usize::from(record.member)) else {
            return Applied::Nothing;
        };
        if record.incarnation > INCARNATION_MOST {
            return Applied::Nothing;
        }
        let suspected = now - f64::from(record.age) * TICK;
        // However late it arrives, there is time left for a refutation.
        let since = suspected.max(now - VERIFY_AFTER);
        let newer = entry.status.is_none() || record.incarnation > entry.incarnation;
        let next = match (record.status, entry.status) {
            _ if !newer && record.incarnation < entry.incarnation => return Applied::Nothing,
            // A return is believed only of a datagram that is known not to be late.
            (Status::Up, None | Some(Status::Gone | Status::Left)) if newer && !bounded => {
                return Applied::MustProbe
            }
            (Status::Gone, Some(Status::Up)) if !newer => return Applied::MustProbe,
            (Status::Suspect, Some(Status::Up)) if !newer && entry.last_alive > suspected => {
                return Applied::Nothing
            }
            (status, _) if newer => status,
            (Status::Suspect, Some(Status::Up)) => Status::Suspect,
            (Status::Gone, Some(Status::Suspect)) => Status::Gone,
            (Status::Left, Some(Status::Up | Status::Suspect | Status::Gone)) => Status::Left,
            (Status::Suspect, Some(Status::Suspect)) => {
                // The first suspicion counts, so that all who know of it come to the same end at about one time.
                entry.since = entry.since.min(since);
                return Applied::Nothing;
            }
            _ => return Applied::Nothing,
        };
        let changed = entry.status != Some(next) || record.incarnation > entry.incarnation;
        (entry.status, entry.incarnation) = (Some(next), record.incarnation);
        (entry.verified, entry.probed) = (false, false);
        entry.reads = record.reads;
        entry.since = if next == Status::Suspect { since } else { now };
        if changed {
            Applied::Changed
        } else {
            Applied::Nothing
        }
    }

    /// The update to send on a member.
    pub(crate) fn record(
        &self,
        now: Millis,
        member: Member,
        own_incarnation: u64,
    ) -> Option<Record> {
        let entry = self.get(member)?;
        let status = entry.status?;
        let incarnation = if member == self.own {
            own_incarnation
        } else {
            entry.incarnation
        };
        // Here a lower age is the safe side: it ends a suspicion later.
        let age = match status {
            Status::Suspect => ((now - entry.since).max(0.0) / TICK).min(255.0) as u8,
            _ => 0,
        };
        Some(Record {
            member: member.0,
            incarnation,
            status,
            reads: entry.reads,
            age,
        })
    }

    /// Who is up, for others to compare.
    pub(crate) fn view(&mut self) -> View {
        let base = if self.view_base < self.entries.len() {
            self.view_base
        } else {
            0
        };
        self.view_base = base + VIEW;
        let part = &self.entries[base..self.entries.len().min(base + VIEW)];
        let byte = |eight: &[Entry]| {
            let up = |entry: &Entry| u8::from(entry.status == Some(Status::Up));
            eight
                .iter()
                .enumerate()
                .fold(0, |byte, (bit, entry)| byte | up(entry) << bit)
        };
        let bits = part.chunks(8).map(byte).collect();
        let reads = self.most_read();
        let other = |entry: &Entry| entry.up() && entry.reads != reads;
        let byte = |eight: &[Entry]| {
            eight
                .iter()
                .enumerate()
                .fold(0, |byte, (bit, entry)| byte | u8::from(other(entry)) << bit)
        };
        let others = if part.iter().any(other) {
            part.chunks(8).map(byte).collect()
        } else {
            Vec::new()
        };
        View {
            base: base as u16,
            reads,
            bits,
            others,
        }
    }

    /// What most of those that are up read.
    fn most_read(&self) -> Reads {
        let mut counts: BTreeMap<(u8, u8), usize> = BTreeMap::new();
        for entry in self.entries.iter().filter(|entry| entry.up()) {
            *counts
                .entry((entry.reads.least, entry.reads.most))
                .or_default() += 1;
        }
        let most = counts.into_iter().max_by_key(|(_, count)| *count);
        most.map_or(Reads::default(), |((least, most), _)| Reads { least, most })
    }

    /// Takes another's view. Who is up there and unknown here is up, if the view is bounded in age and contains what it
    /// reads. Where this replica has evidence of something different, the places are returned, for their records to be
    /// sent.
    pub(crate) fn compare(
        &mut self,
        now: Millis,
        view: &View,
        bounded: bool,
    ) -> (Vec<Member>, Vec<Member>) {
        let (mut come, mut differ) = (Vec::new(), Vec::new());
        for (place, up, usual) in view.places() {
            let Some(entry) = self.entries.get_mut(usize::from(place)) else {
                continue;
            };
            if up && bounded && usual && entry.status.is_none() {
                (entry.status, entry.since, entry.reads) = (Some(Status::Up), now, view.reads);
                come.push(Member(place));
                continue;
            }
            let last_alive = now - entry.last_alive < ALIVE_RECENTLY;
            match entry.status {
                Some(Status::Gone | Status::Left) if up => differ.push(Member(place)),
                Some(Status::Up) if !up && last_alive => differ.push(Member(place)),
                // One of the two missed a start in another build.
                Some(_) if up && entry.up() && usual != (entry.reads == view.reads) => {
                    differ.push(Member(place));
                }
                _ => {}
            }
        }
        (come, differ)
    }
}
