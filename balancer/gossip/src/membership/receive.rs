//! What a received datagram changes in the membership.
use super::{Membership, Outgoing, ROUND_INTERVAL};
use crate::types::{Member, Millis};
use crate::wire::v1::{About, Body, Kind, Reads, Record, Status, TICK};

use super::table::Applied;

/// How often others may know a higher incarnation of this replica than its own within [`RISES_WITHIN`]: a restart finds
/// that out once, or a few times from those who knew of different ones; another replica in its place goes on.
const MAX_REFUTATIONS: usize = 4;
const REFUTATIONS_WITHIN: Millis = 10_000.0;
/// A replica whose place a second process uses doesn't raise its incarnation for so long, so that the two don't chase
/// each other.
const QUIET: Millis = 30_000.0;
/// Records that an answer carries where the two views differ.
const DIFFERENCES: usize = 16;
/// Newcomers that are urgent updates, at a time.
const FEW_NEWCOMERS: usize = 4;
/// Strangers that wait to be probed.
const MAX_STRANGERS: usize = 16;

impl Membership {
    /// Takes a datagram with its sender's incarnation and what it reads, and the time it was in transit at most, where
    /// that is known.
    pub(crate) fn read(
        &mut self,
        now: Millis,
        from: Member,
        sender: (u64, Reads),
        transit: Option<Millis>,
        body: &Body,
    ) {
        let (incarnation, reads) = sender;
        if self.departed {
            return;
        }
        let bounded = transit.is_some();
        let alive_at = transit.map(|transit| now - transit);
        self.last_received = now;
        let first = self.sender(now, from, incarnation, alive_at);
        if let Some(entry) = self.table.entries.get_mut(usize::from(from.0)) {
            if entry.incarnation == incarnation {
                entry.reads = reads;
            }
        }
        for record in &body.records {
            self.record(now, record, bounded);
        }
        let (come, differ) = self.table.compare(now, &body.view, bounded);
        self.changed |= !come.is_empty();
        self.announced
            .extend(come.into_iter().map(|member| (member, 0, body.view.reads)));
        match body.head.kind {
            Kind::Ping if self.budget.may_answer(now) => self.answer(now, from, first, &differ),
            Kind::Ack => self.ack(now, bounded, body.head.lost, differ),
            Kind::PingRequest => self.ping_request(now, from, body.head.about),
            Kind::IndirectAck => {
                if let (Some(about), Some(alive_at)) = (body.head.about, alive_at) {
                    self.indirect_ack(
                        now,
                        Member(about.member),
                        alive_at - f64::from(about.age) * TICK,
                    );
                }
            }
            Kind::Ping | Kind::Gossip => {}
        }
        if let Some(alive_at) = alive_at {
            self.answer_askers(now, from, alive_at);
        }
    }

    /// Answers a ping, with the records of where the two views differ.
    fn answer(&mut self, now: Millis, to: Member, mut first: Vec<Record>, differ: &[Member]) {
        // Each sender gets another part of a long list.
        let start = usize::from(to.0) % differ.len().max(1);
        let differ = differ[start..]
            .iter()
            .chain(&differ[..start])
            .take(DIFFERENCES);
        first.extend(differ.filter_map(|member| self.table.record(now, *member, self.incarnation)));
        let bare = !self.budget.has_credit(now);
        self.out.push_back(Outgoing {
            to,
            kind: Kind::Ack,
            about: None,
            first,
            bare,
        });
    }

    /// Takes what an answer carries beside its updates: how many members its sender has lost, and where the views
    /// differ.
    fn ack(&mut self, now: Millis, bounded: bool, lost: u16, differ: Vec<Member>) {
        let (most_lost, at) = self.lost_reported;
        if bounded && lost >= most_lost || now - at > super::SILENT {
            self.lost_reported = (lost, now);
        }
        for member in differ.into_iter().take(DIFFERENCES) {
            self.gossip.once(member);
        }
    }

    /// Confirms to those that asked for an indirect probe of a member that it was alive at this time.
    fn answer_askers(&mut self, now: Millis, about: Member, alive_at: Millis) {
        for asker in self.probes.relayed(now, about, alive_at) {
            let Some(age) = crate::wire::v1::ticks(now - alive_at) else {
                continue;
            };
            let first = self
                .table
                .record(now, about, self.incarnation)
                .into_iter()
                .collect();
            let about = Some(About {
                member: about.0,
                age,
            });
            self.out.push_back(Outgoing {
                to: asker,
                kind: Kind::IndirectAck,
                about,
                first,
                bare: true,
            });
        }
    }

    /// Takes a datagram of a version that this replica doesn't read: it answers with its own, so that the sender learns
    /// what this replica reads, and nothing else follows from it.
    pub(crate) fn unread(&mut self, now: Millis, from: Member, incarnation: u64) {
        if !self.departed && self.budget.has_credit(now) {
            let first = self.correction(now, from, incarnation);
            self.out.push_back(Outgoing {
                to: from,
                kind: Kind::Gossip,
                about: None,
                first,
                bare: true,
            });
        }
    }

    /// Takes what the datagram shows of its sender; returns the records on it that the sender must learn.
    fn sender(
        &mut self,
        now: Millis,
        from: Member,
        incarnation: u64,
        alive_at: Option<Millis>,
    ) -> Vec<Record> {
        let Some(entry) = self.table.get(from).copied() else {
            return Vec::new();
        };
        let newer = entry.status.is_none() || incarnation > entry.incarnation;
        let Some(alive_at) = alive_at else {
            if newer && !entry.up() {
                self.want(now, from);
            }
            return self.correction(now, from, incarnation);
        };
        self.alive(now, from, alive_at);
        if newer {
            if entry.incarnation > 0 && !entry.up() {
                self.restarted.push(from);
            }
            self.table.set(now, from, Status::Up, incarnation);
            self.changed = true;
            if entry.status != Some(Status::Up) {
                // A newcomer is an update for all; where many come, the views carry them.
                let few_newcomers = entry.status.is_some() || self.gossip.len() < FEW_NEWCOMERS;
                self.announce(now, from, few_newcomers);
            }
        }
        self.correction(now, from, incarnation)
    }

    /// A stranger is to be probed soon.
    fn want(&mut self, now: Millis, member: Member) {
        if self.strangers.len() < MAX_STRANGERS && !self.strangers.contains(&member) {
            self.strangers.push_back(member);
            self.next_discovery = self.next_discovery.min(now + ROUND_INTERVAL);
        }
    }

    /// The record for a sender that isn't known as up under its incarnation: it will raise it.
    pub(super) fn correction(&self, now: Millis, from: Member, incarnation: u64) -> Vec<Record> {
        let Some(entry) = self.table.get(from) else {
            return Vec::new();
        };
        if entry.status.is_some_and(|status| status != Status::Up)
            || incarnation < entry.incarnation
        {
            self.table
                .record(now, from, self.incarnation)
                .into_iter()
                .collect()
        } else {
            Vec::new()
        }
    }

    /// A member lived at this time.
    fn alive(&mut self, now: Millis, member: Member, alive_at: Millis) {
        let Some(entry) = self.table.entries.get_mut(usize::from(member.0)) else {
            return;
        };
        entry.last_alive = entry.last_alive.max(alive_at);
        if entry.status == Some(Status::Suspect) && alive_at >= entry.since {
            (entry.status, entry.since) = (Some(Status::Up), now);
        }
        self.probes.record_alive(member, alive_at);
    }

    fn ping_request(&mut self, now: Millis, from: Member, about: Option<About>) {
        let Some(about) = about.map(|about| Member(about.member)) else {
            return;
        };
        if about != self.own && self.table.get(about).is_some() && self.budget.may_answer(now) {
            self.probes.relay(now, from, about);
            self.send(about, Kind::Ping, true);
        }
    }

    fn indirect_ack(&mut self, now: Millis, about: Member, alive_at: Millis) {
        if self.is_up(about) {
            self.alive(now, about, alive_at);
        }
    }

    /// Takes an update on a member, perhaps on this one.
    fn record(&mut self, now: Millis, record: &Record, bounded: bool) {
        let member = Member(record.member);
        if member == self.own {
            self.refute(now, record);
            return;
        }
        let Some(before) = self.table.get(member).copied() else {
            return;
        };
        match self.table.apply(now, record, bounded) {
            Applied::Nothing => {}
            Applied::MustProbe if before.up() => self.verify(now, member),
            Applied::MustProbe => self.want(now, member),
            Applied::Changed => {
                let after = self.table.entries[usize::from(member.0)];
                self.changed |= before.up() != after.up();
                self.announced
                    .push((member, after.incarnation, after.reads));
                if after.status == Some(Status::Up) && before.incarnation > 0 && !before.up() {
                    self.restarted.push(member);
                }
                if after.status == Some(Status::Suspect) {
                    self.counters.suspected += 1;
                }
                if after.status == Some(Status::Gone) && before.up() {
                    self.counters.gone += 1;
                }
                // Where only an incarnation was not known yet, nothing has happened.
                let learned = before.status == after.status && before.incarnation == 0;
                let few_newcomers = before.status.is_some() || self.gossip.len() < FEW_NEWCOMERS;
                if !learned {
                    self.announce(now, member, few_newcomers);
                }
            }
        }
    }

    /// Refutes an update on this replica that isn't true by a higher incarnation, and raises its own above that of a
    /// former run.
    fn refute(&mut self, now: Millis, record: &Record) {
        if record.status != Status::Up && record.incarnation < self.incarnation {
            // The suspicion is of an earlier incarnation: the current one is not known there yet.
            self.announce(now, self.own, true);
            return;
        }
        let doubted = record.status != Status::Up && record.incarnation >= self.incarnation;
        let surpassed = record.status == Status::Up && record.incarnation > self.incarnation;
        if !(doubted || surpassed) || record.incarnation >= u64::MAX / 2 {
            return;
        }
        if surpassed {
            if now < self.quiet_until {
                return;
            }
            self.refutations.retain(|at| now - at < REFUTATIONS_WITHIN);
            self.refutations.push_back(now);
            if self.refutations.len() > MAX_REFUTATIONS {
                self.refutations.clear();
                self.quiet_until = now + QUIET;
                self.duplicate = true;
                return;
            }
        }
        self.incarnation = record.incarnation + 1;
        self.announce(now, self.own, true);
    }
}
