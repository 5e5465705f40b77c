//! The table of all candidates. Owns their statuses and incarnations, and the one rule by which updates change them.
//! Sends nothing and has no timers.
use std::collections::BTreeMap;

use crate::types::{Member, Millis};
use crate::wire::v1::{
    DigestedMember, MemberUpdate, MembershipDigest, Status, SupportedVersions, TICK,
};

/// The time after which a suspicion that was only received is verified.
pub(super) const VERIFICATION_DELAY: Millis = 500.0;
/// Members that one digest covers at most; of a longer list each datagram covers the next section.
const DIGEST_SPAN: usize = 512;
/// Evidence that a member is alive is sent to those that know less while it is younger than this.
const ALIVE_RECENTLY: Millis = 1_000.0;
/// An incarnation beyond this is none that a replica came to by itself.
const MAX_INCARNATION: u64 = u64::MAX / 2;

/// What is known of one candidate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    /// Absent until something of it was received.
    pub status: Option<Status>,
    /// Zero where it is only known to be up.
    pub incarnation: u64,
    /// The versions it has announced.
    pub supported_versions: SupportedVersions,
    /// Since when it has this status.
    pub since: Millis,
    /// The last time at which it was certainly alive.
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

    /// Whether a datagram of this incarnation is not one of a process that is known to have ended.
    pub(crate) fn is_current(&self, incarnation: u64) -> bool {
        match self.status {
            None => true,
            Some(Status::Up | Status::Suspect) => incarnation >= self.incarnation,
            Some(Status::Failed | Status::Left) => incarnation > self.incarnation,
        }
    }

    /// Whether this replica has evidence that contradicts another's digest.
    fn differs(&self, now: Millis, digested: &DigestedMember, common: SupportedVersions) -> bool {
        let recently_alive = now - self.last_alive < ALIVE_RECENTLY;
        match self.status {
            Some(Status::Failed | Status::Left) if digested.is_up => true,
            Some(Status::Up) if !digested.is_up && recently_alive => true,
            // One of the two missed a start in another build.
            Some(_) if digested.is_up && self.up() => {
                digested.has_common_versions != (self.supported_versions == common)
            }
            _ => false,
        }
    }
}

/// What another's digest has shown.
#[derive(Debug, Default)]
pub(crate) struct Comparison {
    /// Members that were unknown here and are up.
    pub newly_up: Vec<Member>,
    /// Members on which this replica has evidence of something different; their updates are to be sent.
    pub differing: Vec<Member>,
}

/// The outcome of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Applied {
    /// It was known, or is overruled by what is known.
    Unchanged,
    /// It changes the entry.
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
    pub(crate) fn new(
        own: Member,
        candidates: u16,
        supported_versions: SupportedVersions,
        now: Millis,
    ) -> Table {
        let entry = Entry {
            status: None,
            incarnation: 0,
            supported_versions: SupportedVersions::default(),
            since: now,
            last_alive: f64::NEG_INFINITY,
            verified: false,
            probed: false,
        };
        let mut entries = vec![entry; usize::from(candidates)];
        entries[usize::from(own.0)] = Entry {
            status: Some(Status::Up),
            supported_versions,
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
            entry.status = Some(status);
            entry.incarnation = incarnation;
            entry.since = now;
            entry.verified = false;
            entry.probed = false;
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

    /// Applies an update on another member. A higher incarnation wins. Within one, its own leave is final, and
    /// suspicion overrides being up unless this replica has younger evidence that it is alive. That a member has failed
    /// is believed of one that is suspected already; otherwise the sender may have been isolated itself, and the member
    /// is probed.
    pub(crate) fn apply(&mut self, now: Millis, update: &MemberUpdate, bounded: bool) -> Applied {
        let Some(entry) = self.entries.get_mut(usize::from(update.member)) else {
            return Applied::Unchanged;
        };
        if update.incarnation > MAX_INCARNATION {
            return Applied::Unchanged;
        }
        let suspected = now - f64::from(update.age) * TICK;
        // However late it arrives, there is time left for a refutation.
        let since = suspected.max(now - VERIFICATION_DELAY);
        let newer = entry.status.is_none() || update.incarnation > entry.incarnation;
        let next = match (update.status, entry.status) {
            _ if !newer && update.incarnation < entry.incarnation => return Applied::Unchanged,
            // A return is believed only of a datagram that is known not to be late.
            (Status::Up, None | Some(Status::Failed | Status::Left)) if newer && !bounded => {
                return Applied::MustProbe
            }
            (Status::Failed, Some(Status::Up)) if !newer => return Applied::MustProbe,
            (Status::Suspect, Some(Status::Up)) if !newer && entry.last_alive > suspected => {
                return Applied::Unchanged
            }
            (status, _) if newer => status,
            (Status::Suspect, Some(Status::Up)) => Status::Suspect,
            (Status::Failed, Some(Status::Suspect)) => Status::Failed,
            (Status::Left, Some(Status::Up | Status::Suspect | Status::Failed)) => Status::Left,
            (Status::Suspect, Some(Status::Suspect)) => {
                // The first suspicion counts, so that it times out at about one time everywhere.
                entry.since = entry.since.min(since);
                return Applied::Unchanged;
            }
            _ => return Applied::Unchanged,
        };
        let changed = entry.status != Some(next) || update.incarnation > entry.incarnation;
        entry.status = Some(next);
        entry.incarnation = update.incarnation;
        entry.verified = false;
        entry.probed = false;
        entry.supported_versions = update.supported_versions;
        entry.since = if next == Status::Suspect { since } else { now };
        if changed {
            Applied::Changed
        } else {
            Applied::Unchanged
        }
    }

    /// The update to send on a member.
    pub(crate) fn update_on(
        &self,
        now: Millis,
        member: Member,
        own_incarnation: u64,
    ) -> Option<MemberUpdate> {
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
        Some(MemberUpdate {
            member: member.0,
            incarnation,
            status,
            supported_versions: entry.supported_versions,
            age,
        })
    }

    /// Returns a digest of who is up, for others to compare.
    pub(crate) fn digest(&mut self) -> MembershipDigest {
        let base = if self.view_base < self.entries.len() {
            self.view_base
        } else {
            0
        };
        self.view_base = base + DIGEST_SPAN;
        let section = &self.entries[base..self.entries.len().min(base + DIGEST_SPAN)];
        let supported_versions = self.most_common_versions();
        let is_other = |entry: &Entry| entry.up() && entry.supported_versions != supported_versions;
        let others = if section.iter().any(is_other) {
            bitmap(section, is_other)
        } else {
            Vec::new()
        };
        MembershipDigest {
            base: base as u16,
            supported_versions,
            bits: bitmap(section, |entry| entry.status == Some(Status::Up)),
            others,
        }
    }

    /// The versions that most of those that are up support.
    fn most_common_versions(&self) -> SupportedVersions {
        let mut counts: BTreeMap<(u8, u8), usize> = BTreeMap::new();
        for entry in self.entries.iter().filter(|entry| entry.up()) {
            *counts
                .entry((entry.supported_versions.min, entry.supported_versions.max))
                .or_default() += 1;
        }
        let most_common = counts.into_iter().max_by_key(|(_, count)| *count);
        most_common.map_or(SupportedVersions::default(), |((min, max), _)| {
            SupportedVersions { min, max }
        })
    }

    /// Takes another's digest. Who is up there and unknown here is up, if the digest is bounded in age and has the
    /// versions that the member supports.
    pub(crate) fn compare(
        &mut self,
        now: Millis,
        digest: &MembershipDigest,
        bounded: bool,
    ) -> Comparison {
        let mut comparison = Comparison::default();
        for digested in digest.members() {
            let Some(entry) = self.entries.get_mut(usize::from(digested.member)) else {
                continue;
            };
            let member = Member(digested.member);
            let is_newly_up = digested.is_up && digested.has_common_versions && bounded;
            if is_newly_up && entry.status.is_none() {
                entry.status = Some(Status::Up);
                entry.since = now;
                entry.supported_versions = digest.supported_versions;
                comparison.newly_up.push(member);
            } else if entry.differs(now, &digested, digest.supported_versions) {
                comparison.differing.push(member);
            }
        }
        comparison
    }
}

/// A bit for each entry, the lowest of each byte first.
fn bitmap(entries: &[Entry], is_set: impl Fn(&Entry) -> bool) -> Vec<u8> {
    let byte = |eight: &[Entry]| {
        let bits = eight.iter().enumerate();
        bits.fold(0, |byte, (bit, entry)| {
            byte | u8::from(is_set(entry)) << bit
        })
    };
    entries.chunks(8).map(byte).collect()
}
