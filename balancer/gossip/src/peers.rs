//! The protocol as a state machine: passes datagrams and time to its parts and assembles their answers.
use std::collections::VecDeque;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::knowledge::ages::{Clocks, MAX_TRANSIT};
use crate::knowledge::sums::Entries;
use crate::knowledge::verdicts::Verdicts;
use crate::membership::{Membership, Outgoing};
use crate::types::{
    Config, ConfigError, Counts, Member, Millis, Own, Told, Transmit, Versions, Word, READS,
};
use crate::versions::Negotiation;
use crate::wire::v1::{Head, Kind, Reads, View};
use crate::wire::{self, v1, v2, Header, PAYLOAD};

/// Lines for the operator that wait until they are polled; further ones are dropped.
const MAX_NOTIFICATIONS: usize = 16;

/// One replica's part in the protocol of its tier.
#[derive(Debug)]
pub struct Peers {
    config: Config,
    counts: Counts,
    rng: Pcg64Mcg,
    clocks: Clocks,
    membership: Membership,
    negotiation: Negotiation,
    verdicts: Verdicts,
    sums: Entries,
    notifications: VecDeque<Told>,
    /// The time of the last call: when datagrams are written.
    now: Millis,
    /// Whether the last line for the operator said that this replica is isolated.
    isolated: bool,
}

impl Peers {
    /// A replica that has received nothing yet.
    pub fn new(config: Config, now: Millis) -> Result<Peers, ConfigError> {
        if config.own.0 >= config.candidates {
            return Err(ConfigError("this copy is not among the peers"));
        }
        let (least, most) = (config.reads.least, config.reads.most);
        if least > most || least < READS.least || most > READS.most {
            return Err(ConfigError(
                "no version of the peers' protocol is left to speak",
            ));
        }
        // Two runs of one replica, and two replicas of one seed, draw differently.
        let mut rng = Pcg64Mcg::seed_from_u64(
            config.seed ^ config.incarnation.rotate_left(32) ^ u64::from(config.own.0),
        );
        let clocks = Clocks::new(config.candidates, rng.gen(), now);
        let verdicts = Verdicts::new(config.own, config.zone, rng.gen());
        let sums = Entries::new(config.own, config.candidates, config.tenants);
        let negotiation = Negotiation::new(config.reads, now);
        let membership = Membership::new(
            config.own,
            config.candidates,
            config.incarnation,
            Reads { least, most },
            rng.clone(),
            now,
        );
        let (counts, notifications) = (Counts::default(), VecDeque::new());
        Ok(Peers {
            config,
            counts,
            rng,
            clocks,
            membership,
            negotiation,
            verdicts,
            sums,
            notifications,
            now,
            isolated: false,
        })
    }

    /// Takes a datagram that came from a candidate's address. Whatever is wrong with it, it is counted and dropped.
    pub fn datagram(&mut self, now: Millis, from: Member, bytes: &[u8]) {
        self.resume(now);
        self.counts.read += 1;
        self.counts.read_bytes += bytes.len() as u64;
        let Ok((header, payload)) = wire::open(bytes) else {
            self.counts.broken += 1;
            return;
        };
        if header.deployment != self.config.deployment {
            self.counts.foreign += 1;
            return;
        }
        if header.place != from || from == self.config.own || from.0 >= self.config.candidates {
            self.counts.broken += 1;
            return;
        }
        let body = match header.version {
            version if version < self.config.reads.least || version > self.config.reads.most => {
                // Its payload can't be read, but the header has the sender and the versions that it reads.
                self.counts.unspoken += 1;
                self.header(now, &header);
                self.membership.unread(now, from, header.incarnation);
                return;
            }
            1 => v1::read(payload).map(|first| v2::Body {
                first,
                rest: None,
                rows: Vec::new(),
                totals: Vec::new(),
            }),
            _ => v2::read(payload),
        };
        let Ok(body) = body else {
            self.counts.broken += 1;
            return;
        };
        let transit = self
            .clocks
            .read(now, from, body.first.head.stamp, body.first.head.echo);
        if transit.is_some_and(|transit| transit > MAX_TRANSIT) {
            self.counts.old += 1;
            return;
        }
        self.header(now, &header);
        let reads = Reads {
            least: header.reads.least,
            most: header.reads.most,
        };
        self.membership
            .read(now, from, (header.incarnation, reads), transit, &body.first);
        self.members(now);
        if !self.negotiation.accepts(header.version, header.epoch) {
            self.counts.unspoken += 1;
            return;
        }
        let Some(transit) = transit else {
            // Nothing that ages can be taken from it; an answer to a question of our own will have a bound.
            if !body.first.verdicts.is_empty() {
                self.membership.probe(now, from);
            }
            return;
        };
        let mut changed = false;
        for verdict in &body.first.verdicts {
            changed |= verdict.observer < self.config.candidates
                && self.verdicts.read(now, transit, verdict);
        }
        if changed {
            self.membership.disseminate(now);
        }
        if header.version >= 2 {
            self.sums
                .read(now, transit, from, &body.totals, body.rest, body.rows);
        }
    }

    /// A header that was verified, for the agreement on a version; unless it is of a run that is over.
    fn header(&mut self, now: Millis, header: &Header) {
        if self.membership.current(header.place, header.incarnation) {
            self.negotiation.received(
                now,
                header.place,
                header.incarnation,
                header.reads,
                header.epoch,
            );
        }
    }

    /// Hands on who is up, where that may have changed.
    fn members(&mut self, now: Millis) {
        for member in std::mem::take(&mut self.membership.restarted) {
            self.verdicts.forget(member);
        }
        for (member, incarnation, reads) in std::mem::take(&mut self.membership.announced) {
            let reads = Versions {
                least: reads.least,
                most: reads.most,
            };
            self.negotiation
                .received(now, member, incarnation, reads, 0);
        }
        if self.membership.changed() {
            let mut up = self.membership.up();
            up.retain(|member| *member != self.config.own);
            self.negotiation.members(now, &up);
        }
        if self.membership.duplicate() {
            let place = self.config.own.0;
            self.notify(format!(
                "another copy speaks as this one, place {place} of the peers: two must not have one name"
            ));
        }
    }

    fn notify(&mut self, line: String) {
        if self.notifications.len() < MAX_NOTIFICATIONS {
            self.notifications.push_back(Told(line));
        }
    }

    /// Before anything else that happens at a time: whether this replica slept past what was due.
    fn resume(&mut self, now: Millis) {
        self.now = now;
        self.membership.resume(now);
    }

    /// When [`Peers::timeout`] is to be called next.
    pub fn next_timeout(&self) -> Option<Millis> {
        let parts = [
            self.membership.next_timeout(),
            self.negotiation.next_timeout(),
        ];
        parts.into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Does what is due.
    pub fn timeout(&mut self, now: Millis) {
        self.resume(now);
        self.negotiation.timeout(now);
        self.membership.timeout(now);
        self.members(now);
        self.verdicts.bound(now);
    }

    /// The next datagram to send; to be asked until there is none, after each call that takes the time.
    pub fn transmit(&mut self) -> Option<Transmit> {
        let send = self.membership.next()?;
        let bytes = self.write(&send);
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.membership.budget.spend(self.now, bytes.len());
        Some(Transmit { to: send.to, bytes })
    }

    fn write(&mut self, send: &Outgoing) -> Vec<u8> {
        let now = self.now;
        // A stranger may read the lowest version only.
        let known = self.membership.is_up(send.to);
        let version = if known {
            self.negotiation.speaks()
        } else {
            self.config.reads.least
        };
        let version = version.clamp(self.config.reads.least, self.config.reads.most);
        let head = Head {
            kind: send.kind,
            stamp: self.clocks.stamp(now),
            echo: self.clocks.echo(now, send.to),
            about: send.about,
            lost: self.membership.lost(now),
        };
        // An answer always carries the view: when many end at once there is no shorter form.
        let view = if send.kind == Kind::Ack || !send.bare {
            self.membership.view()
        } else {
            View::default()
        };
        let records = self.membership.records(now, send);
        let verdicts = if send.bare && send.kind != Kind::Gossip {
            Vec::new()
        } else {
            self.verdicts.outgoing(now, &mut self.rng)
        };
        let first = v1::Body {
            head,
            view,
            records,
            verdicts,
        };
        let mut body = v2::Body {
            first,
            rest: None,
            rows: Vec::new(),
            totals: Vec::new(),
        };
        let payload = if version == 1 {
            v1::write(&mut body.first, PAYLOAD)
        } else {
            if !send.bare {
                (body.totals, body.rest, body.rows) =
                    self.sums
                        .outgoing(now, send.kind == Kind::Ping, &mut self.rng);
            }
            v2::write(&mut body, PAYLOAD)
        };
        self.membership.sent(&body.first.records);
        let header = Header {
            version,
            reads: self.config.reads,
            place: self.config.own,
            incarnation: self.membership.incarnation(),
            deployment: self.config.deployment,
            epoch: self.negotiation.epoch(),
        };
        wire::seal(&header, &payload)
    }

    /// The next line for the operator.
    pub fn told(&mut self) -> Option<Told> {
        self.notifications
            .pop_front()
            .or_else(|| self.negotiation.next_notification())
    }

    /// Takes what this replica observes itself.
    pub fn observe(&mut self, now: Millis, own: Own) {
        self.resume(now);
        if self.verdicts.observe(now, &own.against, &own.cleared) {
            self.membership.disseminate(now);
        }
        self.sums.observe(now, own.figures);
    }

    /// What the tier knows.
    pub fn word(&mut self, now: Millis) -> Word {
        self.resume(now);
        let members = self.membership.up();
        let place = members
            .iter()
            .position(|member| *member == self.config.own)
            .unwrap_or(0) as u32;
        let (up, version) = (members.len() as u32, self.negotiation.speaks());
        let joined = self.membership.joined(now);
        if self.isolated == joined && (joined || up > 1) {
            self.isolated = !joined;
            let line = if joined {
                "hears the tier again"
            } else {
                "is cut off from more than half of the tier"
            };
            self.notify(format!("this copy {line}: {up} members up"));
        }
        let sums = if joined && version >= 2 {
            self.sums.sums(now, &members)
        } else {
            None
        };
        let evidence = self.verdicts.evidence(now);
        Word {
            up,
            place,
            version,
            epoch: self.negotiation.epoch(),
            joined,
            sums,
            evidence,
        }
    }

    /// Tells the others that this replica ends, so that nobody need suspect it.
    pub fn leave(&mut self, now: Millis) {
        self.resume(now);
        self.membership.leave(now);
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        let counters = self.membership.counters;
        Counts {
            suspected: counters.suspected,
            gone: counters.gone,
            steps: self.negotiation.steps(),
            ..self.counts
        }
    }
}
