//! The agreement on a version that this replica knows of, and how it comes to another. Owns its number; announcements
//! and the step-up timer are modules of their own. All state is in integers, so that a model checker can compare it.
use super::announced::Announced;
use super::epoch::Epoch;
use super::rules::{Rule, Rules, MAX_EPOCH_JUMP, MAX_TIMER_LATENESS};
use super::step_up::StepUpTimer;
use crate::types::{Member, VersionRange};

/// The state machine of the agreement. Times are in whole milliseconds on this replica's clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Agreement {
    rules: Rules,
    own: VersionRange,
    epoch: Epoch,
    announced: Announced,
    step_up: StepUpTimer,
}

impl Agreement {
    /// A replica that knows of no agreement yet.
    pub fn new(rules: Rules, own: VersionRange) -> Agreement {
        Agreement {
            rules,
            own,
            epoch: Epoch::first(own.min),
            announced: Announced::new(own),
            step_up: StepUpTimer::new(),
        }
    }

    /// Takes what a verified header announces, or what another member has relayed of a member, with an epoch of 0.
    pub fn handle_announcement(
        &mut self,
        now: u64,
        from: Member,
        incarnation: u64,
        supported_versions: VersionRange,
        epoch: u64,
    ) {
        // Every program supports some version, and none supports version 0.
        if supported_versions.min == 0 || supported_versions.min > supported_versions.max {
            return;
        }
        if !self
            .announced
            .record_announcement(self.rules, from, incarnation, supported_versions)
        {
            return self.reevaluate(now);
        }
        if supported_versions.max < self.own.max && supported_versions.overlaps(self.own) {
            self.step_up.established();
            if supported_versions.max < self.announced.limit() {
                self.step_up.restart(now);
            }
        }
        if let Some(epoch) = Epoch::read(epoch) {
            self.consider_epoch(now, from, supported_versions, epoch);
        }
        self.reevaluate(now);
    }

    /// Adopts an agreement that another replica announces, if it is later than the one known of.
    fn consider_epoch(
        &mut self,
        now: u64,
        from: Member,
        supported_versions: VersionRange,
        epoch: Epoch,
    ) {
        let version = epoch.version();
        // A replica agrees only on what it supports itself; what this one doesn't support it leaves to the others, who
        // will step down as soon as they receive it. And incompatible members agree among themselves.
        let supported = supported_versions.contains(version) && self.own.contains(version);
        if !supported
            || self.announced.incompatible_versions(from).is_some()
            || !self.rules.holds(Rule::Adopt)
        {
            return;
        }
        let far = epoch.counter() > self.epoch.counter().saturating_add(MAX_EPOCH_JUMP);
        let repeated = self.announced.implausible_epoch(from, far);
        if (epoch > self.epoch || !self.rules.holds(Rule::Largest)) && (!far || repeated) {
            self.adopt(now, epoch);
            self.step_up.established();
        }
    }

    /// Takes who is up besides this replica.
    pub fn handle_members(&mut self, now: u64, up: &[Member]) {
        self.announced.set_members(self.rules, up);
        self.reevaluate(now);
    }

    /// The time at which [`Agreement::on_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Option<u64> {
        self.step_up.deadline()
    }

    /// Steps up if that is due. A replica that comes to it late was paused: others may have come and gone, so it
    /// listens for as long again.
    pub fn on_timeout(&mut self, now: u64) {
        let Some(deadline) = self.step_up.deadline().filter(|&deadline| deadline <= now) else {
            return;
        };
        if now - deadline >= MAX_TIMER_LATENESS {
            self.step_up.restart(now);
        } else {
            self.adopt(now, self.next_epoch(self.announced.limit()));
            self.reevaluate(now);
        }
    }

    /// Steps down at once where what is known of the members requires it, and schedules a step up where it allows one.
    fn reevaluate(&mut self, now: u64) {
        let limit = self.announced.limit();
        if limit < self.epoch.version() && self.rules.holds(Rule::OwnKnowledge) {
            let epoch = if self.rules.holds(Rule::RaiseOnDown) {
                self.next_epoch(limit)
            } else {
                Epoch::first(limit)
            };
            self.adopt(now, epoch);
        }
        // Where a member supports less, a tier shows so by its first agreement. Whoever joins it learns from that
        // number that it is no part of a common start.
        if self.epoch.counter() == 0 && self.announced.is_limited() {
            self.adopt(now, self.next_epoch(limit));
        }
        let possible = limit > self.epoch.version() && self.announced.has_others();
        self.step_up.arm(now, possible);
    }

    fn adopt(&mut self, now: u64, epoch: Epoch) {
        let before = self.epoch.version();
        self.epoch = epoch;
        match epoch.version().cmp(&before) {
            std::cmp::Ordering::Greater => self.step_up.stepped_up(now),
            std::cmp::Ordering::Less => self.step_up.stepped_down(now),
            std::cmp::Ordering::Equal => {}
        }
    }

    /// A new agreement.
    fn next_epoch(&self, version: u8) -> Epoch {
        let last = if self.rules.holds(Rule::AboveKnown) {
            self.epoch
        } else {
            Epoch::first(version)
        };
        last.next(version)
    }

    /// The version to write in.
    pub fn version(&self) -> u8 {
        if !self.rules.holds(Rule::Together) {
            return self.announced.limit();
        }
        // The two differ only where no number is left for an agreement on less.
        self.epoch.version().min(self.announced.limit())
    }

    /// The number of the agreement to announce.
    pub fn epoch(&self) -> u64 {
        self.epoch.number()
    }

    /// Whether a datagram of this version, written under this agreement, may be acted on.
    pub fn accepts(&self, version: u8, epoch: u64) -> bool {
        // Whoever knows of no agreement yet speaks the lowest version, which means the same under all of them.
        let agreed =
            epoch == self.epoch.number() && version <= self.version() || version == self.own.min;
        let agreed = agreed || !self.rules.holds(Rule::OwnAgreement);
        let sound = Epoch::read(epoch).is_some_and(|epoch| version <= epoch.version());
        self.own.contains(version) && agreed && sound
    }

    /// The versions that this replica supports.
    pub fn own(&self) -> VersionRange {
        self.own
    }

    pub(super) fn announced(&self) -> &Announced {
        &self.announced
    }

    /// Moves the clock back by this much, so that a model of it has finitely many states.
    pub fn shift(&mut self, by: u64) {
        self.step_up.shift(by);
    }
}
