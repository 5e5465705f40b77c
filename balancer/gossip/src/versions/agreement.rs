//! The agreement on a version that this replica knows of, and how it comes to another. Owns its number; the rest of
//! what decides is in its parts, all of it integers, so that a model checker can compare states.
use super::announced::{contains, overlap, Announced};
use super::epoch::Epoch;
use super::rules::{Rule, Rules, MAX_EPOCH_JUMP, MAX_TIMER_LATENESS};
use super::step_up::StepUpTimer;
use crate::types::{Member, Versions};

/// Times are in whole milliseconds on this replica's clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Agreement {
    rules: Rules,
    own: Versions,
    epoch: Epoch,
    announced: Announced,
    step_up: StepUpTimer,
}

impl Agreement {
    pub fn new(rules: Rules, own: Versions) -> Agreement {
        Agreement {
            rules,
            own,
            epoch: Epoch::first(own.least),
            announced: Announced::new(own),
            step_up: StepUpTimer::new(),
        }
    }

    /// Takes a verified header.
    pub fn received(
        &mut self,
        now: u64,
        from: Member,
        incarnation: u64,
        reads: Versions,
        epoch: u64,
    ) {
        // No program reads nothing, and none reads version 0.
        if reads.least == 0 || reads.least > reads.most {
            return;
        }
        if !self.announced.record(self.rules, from, incarnation, reads) {
            return self.settle(now);
        }
        if reads.most < self.own.most && overlap(reads, self.own) {
            self.step_up.established();
            if reads.most < self.announced.limit() {
                self.step_up.restart(now);
            }
        }
        if let Some(epoch) = Epoch::read(epoch) {
            self.consider(now, from, reads, epoch);
        }
        self.settle(now);
    }

    /// Adopts an agreement that another replica announces, if it is later than the one known of.
    fn consider(&mut self, now: u64, from: Member, reads: Versions, epoch: Epoch) {
        let version = epoch.version();
        // A replica agrees only on what it reads itself; what this one can't read it leaves to the others, who will
        // step down as soon as they receive it. And those that it doesn't mix with agree among themselves.
        let both = contains(reads, version) && contains(self.own, version);
        if !both || self.announced.incompatible(from).is_some() || !self.rules.hold(Rule::Adopt) {
            return;
        }
        let far = epoch.counter() > self.epoch.counter().saturating_add(MAX_EPOCH_JUMP);
        let repeated = self.announced.implausible_epoch(from, far);
        if (epoch > self.epoch || !self.rules.hold(Rule::Largest)) && (!far || repeated) {
            self.adopt(now, epoch);
            self.step_up.established();
        }
    }

    /// Takes who is up besides this replica.
    pub fn members(&mut self, now: u64, up: &[Member]) {
        self.announced.members(self.rules, up);
        self.settle(now);
    }

    pub fn next_timeout(&self) -> Option<u64> {
        self.step_up.due()
    }

    /// Steps up if that is due. A replica that comes to it late has slept: others may have come and gone, so it listens
    /// for as long again.
    pub fn timeout(&mut self, now: u64) {
        let Some(due) = self.step_up.due().filter(|&due| due <= now) else {
            return;
        };
        if now - due >= MAX_TIMER_LATENESS {
            self.step_up.restart(now);
        } else {
            self.adopt(now, self.next_epoch(self.announced.limit()));
            self.settle(now);
        }
    }

    /// Steps down at once where what is known of the members asks for it; else sees to it that a step up becomes due.
    fn settle(&mut self, now: u64) {
        let limit = self.announced.limit();
        if limit < self.epoch.version() && self.rules.hold(Rule::OwnKnowledge) {
            let raised = self.rules.hold(Rule::RaiseOnDown);
            self.adopt(
                now,
                if raised {
                    self.next_epoch(limit)
                } else {
                    Epoch::first(limit)
                },
            );
        }
        // Where a member reads less, a tier shows so by its first agreement. Whoever joins it learns from that number
        // that it is no part of a common start.
        if self.epoch.counter() == 0 && self.announced.limited() {
            self.adopt(now, self.next_epoch(limit));
        }
        let possible = limit > self.epoch.version() && self.announced.any();
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
        let last = if self.rules.hold(Rule::AboveKnown) {
            self.epoch
        } else {
            Epoch::first(version)
        };
        last.next(version)
    }

    pub fn speaks(&self) -> u8 {
        if !self.rules.hold(Rule::Together) {
            return self.announced.limit();
        }
        // The two differ only where no number is left for an agreement on less.
        self.epoch.version().min(self.announced.limit())
    }

    pub fn epoch(&self) -> u64 {
        self.epoch.number()
    }

    pub fn accepts(&self, version: u8, epoch: u64) -> bool {
        // Whoever knows of no agreement yet speaks the lowest version, which means the same under all of them.
        let agreed =
            epoch == self.epoch.number() && version <= self.speaks() || version == self.own.least;
        let agreed = agreed || !self.rules.hold(Rule::OwnAgreement);
        let sound = Epoch::read(epoch).is_some_and(|epoch| version <= epoch.version());
        contains(self.own, version) && agreed && sound
    }

    pub fn own(&self) -> Versions {
        self.own
    }

    pub(super) fn announced(&self) -> &Announced {
        &self.announced
    }

    /// The same with a clock that reads less, so that a model of it has finitely many states.
    pub fn shift(&mut self, by: u64) {
        self.step_up.shift(by);
    }
}
