//! The table of all candidates. Owns their statuses and incarnations, and the rule by which updates change them. Sends
//! nothing and has no timers.
use std::collections::BTreeMap;

use crate::types::{Member, Millis};
use crate::wire::v1::{
    DigestedMember, MemberUpdate, MembershipDigest, Status, SupportedVersions, TICK,
};

/// The delay after which a replica verifies a suspicion that it only received.
pub(super) const VERIFICATION_DELAY: Millis = 500.0;
/// Limit of members per digest; for a longer list, successive digests cover successive sections.
const DIGEST_SPAN: usize = 512;
/// Evidence that a member is alive is sent to replicas that lack it while it is younger than this.
const ALIVE_RECENTLY: Millis = 1_000.0;
/// Higher incarnations are rejected as corrupt: no replica reaches them by incrementing its own.
const MAX_INCARNATION: u64 = u64::MAX / 2;

/// The known state of one candidate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    /// Absent until something about it was received.
    pub status: Option<Status>,
    /// Zero if it is only known to be up.
    pub incarnation: u64,
    /// The versions it has announced.
    pub supported_versions: SupportedVersions,
    /// The time since which it has this status.
    pub since: Millis,
    /// The last time at which it was certainly alive.
    pub last_alive: Millis,
    /// Whether the verification of this suspicion was already started, or left to others.
    pub verified: bool,
    /// Whether this replica has probed the member because of this suspicion.
    pub probed: bool,
}

impl Entry {
    pub(crate) fn up(&self) -> bool {
        matches!(self.status, Some(Status::Up | Status::Suspect))
    }

    /// Whether this incarnation is not known to have ended.
    pub(crate) fn is_current(&self, incarnation: u64) -> bool {
        match self.status {
            None => true,
            Some(Status::Up | Status::Suspect) => incarnation >= self.incarnation,
            Some(Status::Failed | Status::Left) => incarnation > self.incarnation,
        }
    }

    /// Whether this replica has evidence that contradicts another replica's digest.
    fn differs(&self, now: Millis, digested: &DigestedMember, common: SupportedVersions) -> bool {
        let recently_alive = now - self.last_alive < ALIVE_RECENTLY;
        match self.status {
            Some(Status::Failed | Status::Left) if digested.is_up => true,
            Some(Status::Up) if !digested.is_up && recently_alive => true,
            // One of the two replicas missed a restart of the member with another build.
            Some(_) if digested.is_up && self.up() => {
                digested.has_common_versions != (self.supported_versions == common)
            }
            _ => false,
        }
    }
}

/// The result of comparing the table with another replica's digest.
#[derive(Debug, Default)]
pub(crate) struct Comparison {
    /// Members that were unknown to this replica and are up.
    pub newly_up: Vec<Member>,
    /// Members for which this replica's evidence contradicts the digest; updates on them are to be sent.
    pub differing: Vec<Member>,
}

/// The outcome of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Applied {
    /// It was known already, or is overridden by the entry.
    Unchanged,
    /// It changes the entry.
    Changed,
    /// It isn't sufficient evidence: the member has to be probed.
    MustProbe,
}

#[derive(Debug)]
pub(crate) struct Table {
    pub own: Member,
    pub entries: Vec<Entry>,
    digest_base: usize,
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
            digest_base: 0,
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

    /// Members that are up, including suspected ones and this replica, in the order of the list.
    pub(crate) fn up(&self) -> Vec<Member> {
        let members = self.entries.iter().enumerate();
        members
            .filter(|(_, entry)| entry.up())
            .map(|(at, _)| Member(at as u16))
            .collect()
    }

    /// Members that are up and not suspected, including this replica.
    pub(crate) fn unsuspected(&self) -> Vec<Member> {
        let members = self.entries.iter().enumerate();
        members
            .filter(|(_, entry)| entry.status == Some(Status::Up))
            .map(|(at, _)| Member(at as u16))
            .collect()
    }

    /// Applies an update on another member. A higher incarnation wins. Within an incarnation, `Left` is final, and
    /// `Suspect` overrides `Up` unless this replica has later evidence that the member is alive. `Failed` is accepted
    /// only for a member that is already suspected; otherwise the sender may itself be isolated, and the member is
    /// probed.
    pub(crate) fn apply(&mut self, now: Millis, update: &MemberUpdate, bounded: bool) -> Applied {
        let Some(entry) = self.entries.get_mut(usize::from(update.member)) else {
            return Applied::Unchanged;
        };
        if update.incarnation > MAX_INCARNATION {
            return Applied::Unchanged;
        }
        let suspected = now - f64::from(update.age) * TICK;
        // Leaves time for a refutation even if the update arrives late.
        let since = suspected.max(now - VERIFICATION_DELAY);
        let newer = entry.status.is_none() || update.incarnation > entry.incarnation;
        let next = match (update.status, entry.status) {
            _ if !newer && update.incarnation < entry.incarnation => return Applied::Unchanged,
            // A return is accepted only from a datagram that is known not to be late.
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
                // The earliest suspicion counts, so that it times out at about the same time at all replicas.
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
        // Rounding the age down is safe: the suspicion times out later.
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

    /// Returns a digest of the members that are up, for others to compare; each call covers the next section.
    pub(crate) fn digest(&mut self) -> MembershipDigest {
        let base = if self.digest_base < self.entries.len() {
            self.digest_base
        } else {
            0
        };
        self.digest_base = base + DIGEST_SPAN;
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

    /// The versions that most members that are up support.
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

    /// Compares the table with another replica's digest. Members that are up in the digest and unknown here become up,
    /// if the digest's transit time is bounded and it includes the versions that they support.
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

/// One bit per entry, starting at the lowest bit of each byte.
fn bitmap(entries: &[Entry], is_set: impl Fn(&Entry) -> bool) -> Vec<u8> {
    let byte = |eight: &[Entry]| {
        let bits = eight.iter().enumerate();
        bits.fold(0, |byte, (bit, entry)| {
            byte | u8::from(is_set(entry)) << bit
        })
    };
    entries.chunks(8).map(byte).collect()
}
