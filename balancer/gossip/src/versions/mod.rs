//! Negotiation of the protocol version that all live members use while replicas of two builds run side by side.
//!
//! Each replica announces in every datagram the versions that it supports and the epoch of the agreement that it knows,
//! which includes the agreed version. The highest epoch wins. A replica that knows a live member which does not support
//! the version makes the next agreement at once, on a lower version; one that has known for long enough that all live
//! members support a higher version makes the next agreement on that. `docs/upgrades.md` describes the guarantee, its
//! assumptions and the reasons for the constants.
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

/// Limit of notifications that wait to be polled; the oldest are dropped first.
const MAX_NOTIFICATIONS: usize = 64;

/// The version negotiation of one replica. Wraps the state machine `Agreement`, converts times to its clock, and
/// creates notifications for the operator.
#[derive(Clone, Debug)]
pub struct VersionNegotiation {
    agreement: Agreement,
    /// Changes of the version since the start.
    steps: u64,
    /// Whether the operator was notified which member limits the version.
    limited: bool,
    notifications: VecDeque<Notification>,
    /// Incompatible members of which the operator was notified, and the versions that they support.
    incompatible: BTreeMap<Member, VersionRange>,
}

impl VersionNegotiation {
    /// Creates a replica that has received nothing yet. It uses the lowest version that it supports.
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

    /// Handles the verified header of a live or not yet known member, or, with an epoch of 0, an announcement that
    /// another member has relayed.
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
                "no version in common with member {}, which supports {} to {}, while this replica supports {} to {} and uses {}: \
                 neither processes the other's loads and verdicts",
                from.0, supported_versions.min, supported_versions.max, own.min, own.max, self.version()
            ));
        }
    }

    /// Sets the members that are up, including suspected ones and excluding this replica. A member without an
    /// [announcement](VersionNegotiation::handle_announcement) limits the tier to the lowest version. A replica that
    /// relays the membership of another must therefore relay the versions that the member supports, too.
    pub fn handle_members(&mut self, now: Millis, up: &[Member]) {
        self.apply(|agreement| agreement.handle_members(round_to_millis(now), up));
    }

    /// Steps up if the step-up delay has passed.
    pub fn on_timeout(&mut self, now: Millis) {
        self.apply(|agreement| agreement.on_timeout(round_to_millis(now)));
    }

    /// The time at which [`VersionNegotiation::on_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Option<Millis> {
        self.agreement
            .next_timeout()
            .map(|deadline| deadline as Millis)
    }

    /// The version to write datagrams in. Datagrams to a candidate that is not up may use the lowest instead, which is
    /// accepted in every epoch.
    pub fn version(&self) -> u8 {
        self.agreement.version()
    }

    /// The epoch to announce: a counter, with the version in the lowest byte.
    pub fn epoch(&self) -> u64 {
        self.agreement.epoch()
    }

    /// Whether the payload of a datagram may be processed. Call it after
    /// [`handle_announcement`](VersionNegotiation::handle_announcement) with its header.
    pub fn accepts(&self, version: u8, epoch: u64) -> bool {
        self.agreement.accepts(version, epoch)
    }

    /// The versions of a member that is incompatible: it supports no version that all live members support.
    pub fn incompatible_versions(&self, member: Member) -> Option<VersionRange> {
        self.agreement.announced().incompatible_versions(member)
    }

    /// Returns the next notification for the operator, if any.
    pub fn poll_notification(&mut self) -> Option<Notification> {
        self.notifications.pop_front()
    }

    /// Changes of the version since the start.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Applies a change, and notifies the operator if the version has changed or is newly limited by a member.
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
            _ if now > before => "all live members support it".to_string(),
            Some((member, Some(supported_versions))) if supported_versions.max == now => {
                format!(
                    "member {} supports {} to {}",
                    member.0, supported_versions.min, supported_versions.max
                )
            }
            Some((member, None)) => format!("the versions of member {} are unknown", member.0),
            _ => "another replica reports a member that supports no more".to_string(),
        };
        self.steps += u64::from(changed);
        self.limited = now <= before;
        let counter = self.epoch() >> 8;
        let comparison = if changed {
            format!("instead of {before}")
        } else {
            format!("below the supported {}", self.agreement.own().max)
        };
        self.notify(format!(
            "version {now} {comparison}, by agreement {counter}: {why}"
        ));
    }

    fn notify(&mut self, line: String) {
        if self.notifications.len() == MAX_NOTIFICATIONS {
            self.notifications.pop_front();
        }
        self.notifications.push_back(Notification(line));
    }
}

/// A time in whole milliseconds, monotonically. Rounds to the nearest, so that a timer which fires marginally early,
/// due to floating-point error, is not rescheduled repeatedly.
fn round_to_millis(now: Millis) -> u64 {
    now.round() as u64
}
