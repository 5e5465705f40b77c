//! The versions that each member has announced that it supports, and who is up. Owns both, and what follows from them:
//! the highest version that all support. Makes no agreement.
use super::rules::{Rule, Rules, REPEATS_TO_BELIEVE};
use crate::types::{Member, VersionRange};
use std::collections::{BTreeMap, BTreeSet};

/// Versions that contradict the last announcement of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Contradiction {
    supported_versions: VersionRange,
    /// How many times in a row it was announced.
    repeats: u8,
}

/// The last announcement of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Announcement {
    incarnation: u64,
    supported_versions: VersionRange,
    /// Something else that it announced, and how often.
    contradiction: Option<Contradiction>,
    /// How many times in a row it named an implausible agreement.
    implausible_epochs: u8,
}

impl Announcement {
    /// Takes versions that contradict it, of the same incarnation or of an earlier one, and believes them once they
    /// were repeated often enough.
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

/// Announcements and who is up. One entry at most for each candidate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Announced {
    own: VersionRange,
    announcements: BTreeMap<Member, Announcement>,
    up: BTreeSet<Member>,
    /// The highest version that all live members read which have anything in common with this replica.
    common: u8,
    /// Whether somebody is up who has announced nothing.
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

    /// Takes an announcement. False if it, and so what came with it, is not of the current process of the member.
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
            self.recount(rules);
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
            // An announcement of an earlier start that agrees with the later one changes nothing.
            announcement.contradiction = announcement.contradiction.filter(|_| !same);
        } else if same && narrower {
            // A replica can't change what it supports while it runs, so one of the two was garbled. The safe one holds.
            announcement.supported_versions = intersection(before, supported_versions);
            announcement.contradiction = None;
        } else if same || narrower {
            // More than before is believed only when it is repeated. So is a smaller incarnation that supports less:
            // the larger one may have been garbled, or this is late by far.
            announcement.contradict(supported_versions, same);
        }
        if announcement.supported_versions != before {
            self.recount(rules);
        }
        later || same
    }

    /// Takes an agreement that looks wrong, or one that does not; true when the former was repeated often enough.
    pub(super) fn implausible_epoch(&mut self, from: Member, far: bool) -> bool {
        let Some(announcement) = self.announcements.get_mut(&from) else {
            return false;
        };
        announcement.implausible_epochs = if far {
            (announcement.implausible_epochs + 1).min(REPEATS_TO_BELIEVE)
        } else {
            0
        };
        announcement.implausible_epochs >= REPEATS_TO_BELIEVE
    }

    /// Takes who is up besides this replica.
    pub(super) fn set_members(&mut self, rules: Rules, up: &[Member]) {
        if up.len() != self.up.len() || up.iter().any(|member| !self.up.contains(member)) {
            self.up = up.iter().copied().collect();
            self.recount(rules);
        }
    }

    /// Derives the common version anew.
    fn recount(&mut self, rules: Rules) {
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

    /// The highest version that may be spoken.
    pub(super) fn limit(&self) -> u8 {
        if self.unannounced {
            self.own.min
        } else {
            self.common
        }
    }

    /// Whether a live member is known to read less than this replica.
    pub(super) fn is_limited(&self) -> bool {
        self.common < self.own.max
    }

    /// Whether other members are up.
    pub(super) fn has_others(&self) -> bool {
        !self.up.is_empty()
    }

    /// The versions of a member that supports none in which all live members meet.
    pub(super) fn incompatible_versions(&self, member: Member) -> Option<VersionRange> {
        let supported_versions = self.announcements.get(&member)?.supported_versions;
        (!supported_versions.overlaps(self.own) || supported_versions.min > self.common)
            .then_some(supported_versions)
    }

    /// The live member that holds the version at the limit, and the versions that it supports where they are known.
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
        let holds = |member: &&Member| {
            supported_versions(member)
                .is_some_and(|supported_versions| supported_versions.max == self.common)
        };
        self.up
            .iter()
            .find(holds)
            .map(|&member| (member, supported_versions(&member)))
    }
}

/// The versions in both ranges, or the latter range where that is none.
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
