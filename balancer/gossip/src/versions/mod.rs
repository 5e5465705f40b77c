//! The version of the protocol that all live members speak, and the agreement on it, while replicas of two builds run
//! beside each other.
//!
//! Each replica announces in every datagram the versions it supports and the agreement it knows of, a number that holds
//! the version. The larger number holds. A replica that knows a live member which does not support the version makes
//! the next agreement, on less, at once; one that has known for long enough that all live members support more makes it
//! on more. `docs/upgrades.md` has the guarantee, its assumptions and each constant's reason.
#[doc(hidden)]
pub mod agreement;
mod announced;
mod epoch;
#[doc(hidden)]
pub mod rules;
mod step_up;

use std::collections::{BTreeMap, VecDeque};

use self::agreement::Agreement;
use self::rules::Rules;
use crate::types::{Member, Millis, Notification, VersionRange};

/// Notifications for the operator that wait to be polled; with more the oldest are dropped.
const MAX_NOTIFICATIONS: usize = 64;

/// One replica's side of the agreement. The state machine is `Agreement`; here are the clock's type, and the
/// notifications for the operator.
#[derive(Clone, Debug)]
pub struct VersionNegotiation {
    agreement: Agreement,
    /// Changes of the version since the start.
    steps: u64,
    /// Whether the operator was notified why the version is lower than this replica could speak.
    limited: bool,
    notifications: VecDeque<Notification>,
    /// Members that the operator was notified of as incompatible, and the versions that they support.
    incompatible: BTreeMap<Member, VersionRange>,
}

impl VersionNegotiation {
    /// A replica that has received nothing yet. It speaks the lowest version it supports.
    pub fn new(own: VersionRange) -> VersionNegotiation {
        let agreement = Agreement::new(Rules::default(), own);
        VersionNegotiation {
            agreement,
            steps: 0,
            limited: false,
            notifications: VecDeque::new(),
            incompatible: BTreeMap::new(),
        }
    }

    /// Takes a verified header of a live or not yet known member; or, with an epoch of 0, an announcement that another
    /// member has relayed.
    pub fn handle_announcement(
        &mut self,
        now: Millis,
        from: Member,
        incarnation: u64,
        supported_versions: VersionRange,
        epoch: u64,
    ) {
        self.apply(|agreement| {
            agreement.handle_announcement(
                round_to_millis(now),
                from,
                incarnation,
                supported_versions,
                epoch,
            )
        });
        let incompatible = self.incompatible_versions(from);
        if let Some(supported_versions) = incompatible.filter(|&supported_versions| {
            self.incompatible.insert(from, supported_versions) != Some(supported_versions)
        }) {
            let own = self.agreement.own();
            self.notify(format!(
                "no version in common with member {}, which reads {} to {}, while this copy reads {} to {} and speaks {}: \
                 they go without each other's word",
                from.0, supported_versions.min, supported_versions.max, own.min, own.max, self.version()
            ));
        }
    }

    /// Takes the members that are up now besides this one, the suspected ones included. One of which nothing was
    /// [announced](VersionNegotiation::handle_announcement) holds the tier at the lowest version; so whoever learns
    /// from another that a member is up must learn from it which versions that member supports, too.
    pub fn handle_members(&mut self, now: Millis, up: &[Member]) {
        self.apply(|agreement| agreement.handle_members(round_to_millis(now), up));
    }

    /// Steps up if the delay of the step up has passed.
    pub fn on_timeout(&mut self, now: Millis) {
        self.apply(|agreement| agreement.on_timeout(round_to_millis(now)));
    }

    /// The time at which [`VersionNegotiation::on_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Option<Millis> {
        self.agreement
            .next_timeout()
            .map(|deadline| deadline as Millis)
    }

    /// The version to write datagrams in now. To a candidate that is not up the lowest may be written instead, which
    /// is accepted under every agreement.
    pub fn version(&self) -> u8 {
        self.agreement.version()
    }

    /// The number of the agreement to announce: a counter, and the version in the last byte.
    pub fn epoch(&self) -> u64 {
        self.agreement.epoch()
    }

    /// Whether the rest of a datagram may be acted on; to be called after its header was
    /// [announced](VersionNegotiation::handle_announcement).
    pub fn accepts(&self, version: u8, epoch: u64) -> bool {
        self.agreement.accepts(version, epoch)
    }

    /// The versions of a member that supports none in which all live members meet.
    pub fn incompatible_versions(&self, member: Member) -> Option<VersionRange> {
        self.agreement.announced().incompatible_versions(member)
    }

    /// Returns the next notification for the operator.
    pub fn poll_notification(&mut self) -> Option<Notification> {
        self.notifications.pop_front()
    }

    /// Changes of the version since the start.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Applies a change, and notifies the operator of the version if it has changed, or of the member that limits it.
    fn apply(&mut self, change: impl FnOnce(&mut Agreement)) {
        let before = self.version();
        change(&mut self.agreement);
        let now = self.version();
        let announced = self.agreement.announced();
        let limited = announced.is_limited();
        let changed = now != before;
        if !changed && (self.limited || !limited) {
            return;
        }
        let why = match announced.limiting_member() {
            _ if now > before => "all live members read it".to_string(),
            Some((member, Some(supported_versions))) if supported_versions.max == now => {
                format!(
                    "member {} reads {} to {}",
                    member.0, supported_versions.min, supported_versions.max
                )
            }
            Some((member, None)) => format!("nobody knows what member {} reads", member.0),
            _ => "another copy says that a member reads no more".to_string(),
        };
        self.steps += u64::from(changed);
        self.limited = now <= before;
        let counter = self.epoch() >> 8;
        let instead = if changed {
            format!("instead of {before}")
        } else {
            format!("and not {}", self.agreement.own().max)
        };
        self.notify(format!(
            "version {now} {instead}, by agreement {counter}: {why}"
        ));
    }

    fn notify(&mut self, line: String) {
        if self.notifications.len() == MAX_NOTIFICATIONS {
            self.notifications.pop_front();
        }
        self.notifications.push_back(Notification(line));
    }
}

/// A point of time in whole milliseconds; later is never earlier. To the nearest, so that a timer which fires a hair
/// early, by an error in the last digits, is not asked for again and again.
fn round_to_millis(now: Millis) -> u64 {
    now.round() as u64
}
