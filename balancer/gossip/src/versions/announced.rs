//! What each member has announced that it reads, and who is up. Owns both.
use super::rules::{Rule, Rules, REPEATS_TO_BELIEVE};
use crate::types::{Member, Versions};
use std::collections::{BTreeMap, BTreeSet};

/// The last announcement of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Announcement {
    incarnation: u64,
    reads: Versions,
    /// Something else that it announced, and how many times in a row.
    contradiction: Option<(Versions, u8)>,
    /// How many times in a row it named an implausible agreement.
    implausible_epochs: u8,
}

/// One entry at most for each candidate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Announced {
    own: Versions,
    announcements: BTreeMap<Member, Announcement>,
    up: BTreeSet<Member>,
    /// The highest version that all live members read which have anything in common with this replica.
    common: u8,
    /// Whether somebody is up who has announced nothing.
    unannounced: bool,
}

impl Announced {
    pub(super) fn new(own: Versions) -> Announced {
        Announced {
            own,
            announcements: BTreeMap::new(),
            up: BTreeSet::new(),
            common: own.most,
            unannounced: false,
        }
    }

    /// Takes an announcement. False if it, and so what came with it, is not of the current run of the member.
    pub(super) fn record(
        &mut self,
        rules: Rules,
        from: Member,
        incarnation: u64,
        reads: Versions,
    ) -> bool {
        let new = Announcement {
            incarnation,
            reads,
            contradiction: None,
            implausible_epochs: 0,
        };
        let Some(announcement) = self.announcements.get_mut(&from) else {
            self.announcements.insert(from, new);
            self.count(rules);
            return true;
        };
        let before = announcement.reads;
        let narrower = reads.most < before.most || reads.least > before.least;
        let later = incarnation > announcement.incarnation || !rules.hold(Rule::Incarnations);
        let same = incarnation == announcement.incarnation;
        if later {
            *announcement = if narrower && !rules.hold(Rule::Narrower) {
                Announcement {
                    reads: before,
                    ..new
                }
            } else {
                new
            };
        } else if reads == before {
            // An announcement of an earlier start that agrees with the later one changes nothing.
            announcement.contradiction = announcement.contradiction.filter(|_| !same);
        } else if same && narrower {
            // A replica can't change what it reads while it runs, so one of the two was garbled. The safe one holds.
            announcement.reads = intersection(before, reads);
            announcement.contradiction = None;
        } else if same || narrower {
            // More than before is believed only when it is repeated. So is a smaller incarnation that reads less:
            // the larger one may have been garbled, or this is late by far.
            let times = announcement
                .contradiction
                .filter(|contradiction| contradiction.0 == reads)
                .map_or(1, |contradiction| contradiction.1 + 1);
            announcement.contradiction = (times < REPEATS_TO_BELIEVE).then_some((reads, times));
            if times >= REPEATS_TO_BELIEVE {
                announcement.reads = if same {
                    reads
                } else {
                    intersection(before, reads)
                };
            }
        }
        if announcement.reads != before {
            self.count(rules);
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
    pub(super) fn members(&mut self, rules: Rules, up: &[Member]) {
        if up.len() != self.up.len() || up.iter().any(|member| !self.up.contains(member)) {
            self.up = up.iter().copied().collect();
            self.count(rules);
        }
    }

    fn count(&mut self, rules: Rules) {
        let live = || {
            self.up
                .iter()
                .filter_map(|member| self.announcements.get(member))
        };
        self.unannounced = rules.hold(Rule::UnannouncedIsLowest) && live().count() < self.up.len();
        let most = live()
            .map(|announcement| announcement.reads)
            .filter(|&reads| overlap(reads, self.own));
        let least = most.map(|reads| reads.most).min();
        self.common = least.map_or(self.own.most, |most| most.min(self.own.most));
        if !rules.hold(Rule::AllMembers) {
            self.common = self.own.most;
        }
    }

    /// The highest version that may be spoken.
    pub(super) fn limit(&self) -> u8 {
        if self.unannounced {
            self.own.least
        } else {
            self.common
        }
    }

    /// Whether a live member is known to read less than this replica.
    pub(super) fn limited(&self) -> bool {
        self.common < self.own.most
    }

    /// Whether anybody else is up.
    pub(super) fn any(&self) -> bool {
        !self.up.is_empty()
    }

    /// What a member reads that reads no version in which all live members meet.
    pub(super) fn incompatible(&self, member: Member) -> Option<Versions> {
        let reads = self.announcements.get(&member)?.reads;
        (!overlap(reads, self.own) || reads.least > self.common).then_some(reads)
    }

    /// Who of those that are up holds the version at the limit, and what it reads.
    pub(super) fn limiting_member(&self) -> Option<(Member, Option<Versions>)> {
        let reads = |member: &Member| {
            self.announcements
                .get(member)
                .map(|announcement| announcement.reads)
        };
        if self.unannounced {
            return self
                .up
                .iter()
                .find(|&member| reads(member).is_none())
                .map(|&member| (member, None));
        }
        let holds = |member: &&Member| reads(member).is_some_and(|reads| reads.most == self.common);
        self.up
            .iter()
            .find(holds)
            .map(|&member| (member, reads(&member)))
    }
}

/// Whether two ranges have a version in common.
pub(super) fn overlap(a: Versions, b: Versions) -> bool {
    a.least <= b.most && b.least <= a.most
}

/// Whether a range has a version.
pub(super) fn contains(range: Versions, version: u8) -> bool {
    range.least <= version && version <= range.most
}

/// What both have, or the latter where that is nothing.
fn intersection(a: Versions, b: Versions) -> Versions {
    let both = Versions {
        least: a.least.max(b.least),
        most: a.most.min(b.most),
    };
    if both.least <= both.most {
        both
    } else {
        b
    }
}
