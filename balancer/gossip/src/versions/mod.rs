//! The version of the protocol that all live members speak, and the agreement on it, while replicas of two builds run
//! beside each other.
//!
//! Each replica announces in every datagram the versions it reads and the agreement it knows of, a number that holds
//! the version. The larger number holds. A replica that knows a live member which does not read the version makes the
//! next agreement, on less, at once; one that has known for long enough that all live members read more makes it on
//! more. `docs/upgrades.md` has the promise, its assumptions and each constant's reason.
#[doc(hidden)]
pub mod agreement;
mod announced;
mod epoch;
#[doc(hidden)]
pub mod rules;
mod step_up;

use crate::types::{Member, Millis, Told, Versions};
use agreement::Agreement;
use rules::Rules;
use std::collections::{BTreeMap, VecDeque};

/// Lines for the operator that wait to be polled; with more the oldest are dropped.
const MAX_NOTIFICATIONS: usize = 64;

/// One replica's part in the agreement. What decides is in `Agreement`; here are the clock's type, and the lines for
/// the operator.
#[derive(Clone, Debug)]
pub struct Negotiation {
    agreement: Agreement,
    steps: u64,
    /// Whether the operator was notified why the version is lower than this replica could speak.
    limited: bool,
    notifications: VecDeque<Told>,
    /// Members that the operator was notified of as incompatible, and the versions that they read.
    incompatible: BTreeMap<Member, Versions>,
}

impl Negotiation {
    /// A replica that has received nothing yet. It speaks the lowest version it reads.
    pub fn new(own: Versions, _now: Millis) -> Negotiation {
        let agreement = Agreement::new(Rules::default(), own);
        Negotiation {
            agreement,
            steps: 0,
            limited: false,
            notifications: VecDeque::new(),
            incompatible: BTreeMap::new(),
        }
    }

    /// Takes a verified header of a live or not yet known member; or, with an epoch of 0, an announcement that another
    /// member has relayed.
    pub fn received(
        &mut self,
        now: Millis,
        from: Member,
        incarnation: u64,
        reads: Versions,
        epoch: u64,
    ) {
        self.apply(|agreement| {
            agreement.received(whole_milliseconds(now), from, incarnation, reads, epoch)
        });
        let incompatible = self.incompatible(from);
        if let Some(reads) =
            incompatible.filter(|&reads| self.incompatible.insert(from, reads) != Some(reads))
        {
            let own = self.agreement.own();
            self.notify(format!(
                "no version in common with member {}, which reads {} to {}, while this copy reads {} to {} and speaks {}: \
                 they go without each other's word",
                from.0, reads.least, reads.most, own.least, own.most, self.speaks()
            ));
        }
    }

    /// Takes the members that are up now besides this one, the suspected ones included. One of which nothing was
    /// [received](Negotiation::received) holds the tier at the lowest version; so whoever learns from another that a
    /// member is up must learn from it what that member reads, too.
    pub fn members(&mut self, now: Millis, up: &[Member]) {
        self.apply(|agreement| agreement.members(whole_milliseconds(now), up));
    }

    /// Does what is due.
    pub fn timeout(&mut self, now: Millis) {
        self.apply(|agreement| agreement.timeout(whole_milliseconds(now)));
    }

    /// When [`Negotiation::timeout`] is to be called next.
    pub fn next_timeout(&self) -> Option<Millis> {
        self.agreement.next_timeout().map(|due| due as Millis)
    }

    /// The version to write datagrams in now. To a candidate that is not up the lowest may be written instead, which
    /// is accepted under every agreement.
    pub fn speaks(&self) -> u8 {
        self.agreement.speaks()
    }

    /// The number of the agreement to announce: a counter, and the version in the last byte.
    pub fn epoch(&self) -> u64 {
        self.agreement.epoch()
    }

    /// Whether the rest of a datagram may be acted on; to be asked after its header was
    /// [received](Negotiation::received).
    pub fn accepts(&self, version: u8, epoch: u64) -> bool {
        self.agreement.accepts(version, epoch)
    }

    /// The versions of a member that reads none in which all live members meet.
    pub fn incompatible(&self, member: Member) -> Option<Versions> {
        self.agreement.announced().incompatible(member)
    }

    /// The next line for the operator.
    pub fn next_notification(&mut self) -> Option<Told> {
        self.notifications.pop_front()
    }

    /// How often the version spoken has changed.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Applies a change, and notifies the operator of the version if it has changed, or of the member that limits it.
    fn apply(&mut self, does: impl FnOnce(&mut Agreement)) {
        let before = self.speaks();
        does(&mut self.agreement);
        let (now, announced) = (self.speaks(), self.agreement.announced());
        let (changed, limited) = (now != before, announced.limited());
        if !changed && (self.limited || !limited) {
            return;
        }
        let why = match announced.limiting_member() {
            _ if now > before => "all live members read it".to_string(),
            Some((member, Some(reads))) if reads.most == now => {
                format!(
                    "member {} reads {} to {}",
                    member.0, reads.least, reads.most
                )
            }
            Some((member, None)) => format!("nobody knows what member {} reads", member.0),
            _ => "another copy says that a member reads no more".to_string(),
        };
        self.steps += u64::from(changed);
        self.limited = now <= before;
        let (counter, most) = (self.epoch() >> 8, self.agreement.own().most);
        let instead = if changed {
            format!("instead of {before}")
        } else {
            format!("and not {most}")
        };
        self.notify(format!(
            "version {now} {instead}, by agreement {counter}: {why}"
        ));
    }

    fn notify(&mut self, line: String) {
        if self.notifications.len() == MAX_NOTIFICATIONS {
            self.notifications.pop_front();
        }
        self.notifications.push_back(Told(line));
    }
}

/// A point of time in whole milliseconds; later is never earlier. To the nearest, so that a timer which fires a hair
/// early, by an error in the last digits, is not asked for again and again.
fn whole_milliseconds(now: Millis) -> u64 {
    now.round() as u64
}
