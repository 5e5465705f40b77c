//! The latest version agreement known to this replica, and the transitions to later ones. Owns the epoch; announcements
//! and the step-up timer have their own modules. All state is integral, so that a model checker can compare it.
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
    /// Creates the state of a replica without a known agreement.
    pub fn new(rules: Rules, own: VersionRange) -> Agreement {
        Agreement {
            rules,
            own,
            epoch: Epoch::first(own.min),
            announced: Announced::new(own),
            step_up: StepUpTimer::new(),
        }
    }

    /// Handles the announcement in a verified header, or one that another member has relayed, with an epoch of 0.
    pub fn handle_announcement(
        &mut self,
        now: u64,
        from: Member,
        incarnation: u64,
        supported_versions: VersionRange,
        epoch: u64,
    ) {
        // Every program supports at least one version, and none supports version 0.
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

    /// Adopts an agreement that another replica announces, if it is later than the known one.
    fn consider_epoch(
        &mut self,
        now: u64,
        from: Member,
        supported_versions: VersionRange,
        epoch: Epoch,
    ) {
        let version = epoch.version();
        // A valid announcer supports the version of its agreement. If this replica doesn't support the version, it
        // ignores the agreement: the others step down as soon as they receive its announcement. Agreements of
        // incompatible members are ignored, as those agree among themselves.
        let supported = supported_versions.contains(version) && self.own.contains(version);
        if !supported
            || self.announced.incompatible_versions(from).is_some()
            || !self.rules.holds(Rule::Adopt)
        {
            return;
        }
        let implausible = epoch.counter() > self.epoch.counter().saturating_add(MAX_EPOCH_JUMP);
        let repeated = self.announced.count_implausible_epochs(from, implausible);
        if (epoch > self.epoch || !self.rules.holds(Rule::Largest)) && (!implausible || repeated) {
            self.adopt(now, epoch);
            self.step_up.established();
        }
    }

    /// Sets the members that are up, except this replica.
    pub fn handle_members(&mut self, now: u64, up: &[Member]) {
        self.announced.set_members(self.rules, up);
        self.reevaluate(now);
    }

    /// The time at which [`Agreement::on_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Option<u64> {
        self.step_up.deadline()
    }

    /// Steps up if that is due. A replica whose timer fires late was paused and may have missed changes of the
    /// membership, so it restarts the delay.
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

    /// Steps down at once if the known members require it, and schedules a step up if they allow one.
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
        // If a member supports less, the tier makes its first agreement at once. Its epoch tells a joining replica that
        // the tier is already established, so that the short delay for a common start does not apply.
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

    /// The epoch of a new agreement on a version.
    fn next_epoch(&self, version: u8) -> Epoch {
        let last = if self.rules.holds(Rule::AboveKnown) {
            self.epoch
        } else {
            Epoch::first(version)
        };
        last.next(version)
    }

    /// The version to write datagrams in.
    pub fn version(&self) -> u8 {
        if !self.rules.holds(Rule::Together) {
            return self.announced.limit();
        }
        // The two differ only when no epoch is left for an agreement on a lower version.
        self.epoch.version().min(self.announced.limit())
    }

    /// The epoch to announce.
    pub fn epoch(&self) -> u64 {
        self.epoch.number()
    }

    /// Whether the payload of a datagram of this version and epoch may be processed.
    pub fn accepts(&self, version: u8, epoch: u64) -> bool {
        // A replica without a known agreement uses the lowest version, which has the same meaning in every epoch.
        let agreed =
            epoch == self.epoch.number() && version <= self.version() || version == self.own.min;
        let agreed = agreed || !self.rules.holds(Rule::OwnAgreement);
        let valid = Epoch::read(epoch).is_some_and(|epoch| version <= epoch.version());
        self.own.contains(version) && agreed && valid
    }

    /// The versions that this replica supports.
    pub fn own(&self) -> VersionRange {
        self.own
    }

    pub(super) fn announced(&self) -> &Announced {
        &self.announced
    }

    /// Shifts the clock back, so that a model has a finite number of states.
    pub fn shift(&mut self, by: u64) {
        self.step_up.shift(by);
    }
}
