//! The supported versions that each member has announced, and the set of members that are up. Derives from these the
//! highest version that all members support. Makes no agreement.
use super::rules::{Rule, Rules, REPEATS_TO_BELIEVE};
use crate::types::{Member, VersionRange};
use std::collections::{BTreeMap, BTreeSet};

/// Announced versions that contradict the accepted announcement of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Contradiction {
    supported_versions: VersionRange,
    /// The number of consecutive announcements.
    repeats: u8,
}

/// The accepted announcement of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Announcement {
    incarnation: u64,
    supported_versions: VersionRange,
    /// A contradicting announcement that is not accepted yet.
    contradiction: Option<Contradiction>,
    /// The number of consecutive announcements of an implausible epoch.
    implausible_epochs: u8,
}

impl Announcement {
    /// Handles contradicting versions, of the same incarnation or an earlier one, and accepts them after
    /// [`REPEATS_TO_BELIEVE`] repetitions.
    fn contradict(&mut self, supported_versions: VersionRange, same_incarnation: bool) {
        let repeats = self
            .contradiction
            .filter(|contradiction| contradiction.supported_versions == supported_versions)
            .map_or(1, |contradiction| contradiction.repeats + 1);
        if repeats < REPEATS_TO_BELIEVE {
            self.contradiction = Some(Contradiction {
                supported_versions,
                repeats,
            });
            return;
        }
        self.contradiction = None;
        self.supported_versions = if same_incarnation {
            supported_versions
        } else {
            intersection(self.supported_versions, supported_versions)
        };
    }
}

/// Announcements, at most one per candidate, and the members that are up.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Announced {
    own: VersionRange,
    announcements: BTreeMap<Member, Announcement>,
    up: BTreeSet<Member>,
    /// The highest version supported by all live members that have any version in common with this replica.
    common: u8,
    /// Whether a member is up that has announced nothing.
    unannounced: bool,
}

impl Announced {
    pub(super) fn new(own: VersionRange) -> Announced {
        Announced {
            own,
            announcements: BTreeMap::new(),
            up: BTreeSet::new(),
            common: own.max,
            unannounced: false,
        }
    }

    /// Records an announcement. Returns false if it, and thus its datagram, is not from the current process of the
    /// member.
    pub(super) fn record_announcement(
        &mut self,
        rules: Rules,
        from: Member,
        incarnation: u64,
        supported_versions: VersionRange,
    ) -> bool {
        let new = Announcement {
            incarnation,
            supported_versions,
            contradiction: None,
            implausible_epochs: 0,
        };
        let Some(announcement) = self.announcements.get_mut(&from) else {
            self.announcements.insert(from, new);
            self.update_common(rules);
            return true;
        };
        let before = announcement.supported_versions;
        let narrower = supported_versions.max < before.max || supported_versions.min > before.min;
        let later = incarnation > announcement.incarnation || !rules.holds(Rule::Incarnations);
        let same = incarnation == announcement.incarnation;
        if later {
            *announcement = if narrower && !rules.holds(Rule::Narrower) {
                Announcement {
                    supported_versions: before,
                    ..new
                }
            } else {
                new
            };
        } else if supported_versions == before {
            // An announcement of an earlier incarnation that agrees with the current one has no effect.
            announcement.contradiction = announcement.contradiction.filter(|_| !same);
        } else if same && narrower {
            // A process doesn't change its supported versions, so one of the two was corrupt. The narrower range is
            // safe.
            announcement.supported_versions = intersection(before, supported_versions);
            announcement.contradiction = None;
        } else if same || narrower {
            // A wider range is accepted only when repeated. So is a narrower range of an earlier incarnation: either
            // the later incarnation was corrupt, or this announcement is very late.
            announcement.contradict(supported_versions, same);
        }
        if announcement.supported_versions != before {
            self.update_common(rules);
        }
        later || same
    }

    /// Counts consecutive implausible epochs of a member; a plausible one resets the count. Returns true once they were
    /// repeated often enough to be accepted.
    pub(super) fn count_implausible_epochs(&mut self, from: Member, implausible: bool) -> bool {
        let Some(announcement) = self.announcements.get_mut(&from) else {
            return false;
        };
        announcement.implausible_epochs = if implausible {
            (announcement.implausible_epochs + 1).min(REPEATS_TO_BELIEVE)
        } else {
            0
        };
        announcement.implausible_epochs >= REPEATS_TO_BELIEVE
    }

    /// Sets the members that are up, except this replica.
    pub(super) fn set_members(&mut self, rules: Rules, up: &[Member]) {
        if up.len() != self.up.len() || up.iter().any(|member| !self.up.contains(member)) {
            self.up = up.iter().copied().collect();
            self.update_common(rules);
        }
    }

    /// Recomputes the common version.
    fn update_common(&mut self, rules: Rules) {
        let live = || {
            self.up
                .iter()
                .filter_map(|member| self.announcements.get(member))
        };
        self.unannounced = rules.holds(Rule::UnannouncedIsLowest) && live().count() < self.up.len();
        let compatible = live()
            .map(|announcement| announcement.supported_versions)
            .filter(|&supported_versions| supported_versions.overlaps(self.own));
        let common = compatible
            .map(|supported_versions| supported_versions.max)
            .min();
        self.common = common.map_or(self.own.max, |common| common.min(self.own.max));
        if !rules.holds(Rule::AllMembers) {
            self.common = self.own.max;
        }
    }

    /// The highest version that may be used.
    pub(super) fn limit(&self) -> u8 {
        if self.unannounced {
            self.own.min
        } else {
            self.common
        }
    }

    /// Whether a live member is known to support less than this replica.
    pub(super) fn is_limited(&self) -> bool {
        self.common < self.own.max
    }

    pub(super) fn has_others(&self) -> bool {
        !self.up.is_empty()
    }

    /// The versions of a member that is incompatible: it supports no version that all live members support.
    pub(super) fn incompatible_versions(&self, member: Member) -> Option<VersionRange> {
        let supported_versions = self.announcements.get(&member)?.supported_versions;
        (!supported_versions.overlaps(self.own) || supported_versions.min > self.common)
            .then_some(supported_versions)
    }

    /// The live member that limits the version, and the versions that it supports if they are known.
    pub(super) fn limiting_member(&self) -> Option<(Member, Option<VersionRange>)> {
        let supported_versions = |member: &Member| {
            self.announcements
                .get(member)
                .map(|announcement| announcement.supported_versions)
        };
        if self.unannounced {
            return self
                .up
                .iter()
                .find(|&member| supported_versions(member).is_none())
                .map(|&member| (member, None));
        }
        let limits = |member: &&Member| {
            supported_versions(member)
                .is_some_and(|supported_versions| supported_versions.max == self.common)
        };
        self.up
            .iter()
            .find(limits)
            .map(|&member| (member, supported_versions(&member)))
    }
}

/// The intersection of two ranges, or `b` if it is empty.
fn intersection(a: VersionRange, b: VersionRange) -> VersionRange {
    let both = VersionRange {
        min: a.min.max(b.min),
        max: a.max.min(b.max),
    };
    if both.min <= both.max {
        both
    } else {
        b
    }
}
