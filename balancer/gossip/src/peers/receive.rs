//! Handling of received datagrams: verifies the sender and dispatches each part to the module that owns it.
use super::Peers;
use crate::knowledge::ages::MAX_TRANSIT;
use crate::knowledge::sums::LoadEntries;
use crate::membership::{RelayedVersions, Sender};
use crate::types::{Member, Millis};
use crate::wire::{self, v1, v2, DecodeError, Header};

/// The reason why a datagram, or its content beyond header and membership, was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejection {
    Malformed,
    ForeignDeployment,
    UnsupportedVersion,
    TooOld,
}

impl From<DecodeError> for Rejection {
    fn from(_: DecodeError) -> Rejection {
        Rejection::Malformed
    }
}

impl Peers {
    pub(super) fn try_handle_datagram(
        &mut self,
        now: Millis,
        from: Member,
        bytes: &[u8],
    ) -> Result<(), Rejection> {
        let (header, payload) = wire::open(bytes)?;
        self.check_sender(&header, from)?;
        if !self.config.supported_versions.contains(header.version) {
            // The payload can't be decoded, but the header identifies the sender and the versions that it supports.
            self.handle_header(now, &header);
            self.membership
                .handle_unsupported_version(now, from, header.incarnation);
            return Err(Rejection::UnsupportedVersion);
        }
        let body = decode(header.version, payload)?;
        let head = &body.version_1.head;
        let transit = self.clocks.handle_stamp(now, from, head.stamp, head.echo);
        if transit.is_some_and(|transit| transit > MAX_TRANSIT) {
            return Err(Rejection::TooOld);
        }
        self.handle_header(now, &header);
        let sender = Sender {
            member: from,
            incarnation: header.incarnation,
            supported_versions: header.supported_versions.into(),
        };
        self.membership
            .handle_message(now, sender, transit, &body.version_1);
        self.on_membership_changed(now);
        if !self.negotiation.accepts(header.version, header.epoch) {
            return Err(Rejection::UnsupportedVersion);
        }
        self.handle_knowledge(now, from, transit, body);
        Ok(())
    }

    /// Checks that a datagram belongs to this deployment and names the candidate from whose address it was received.
    fn check_sender(&self, header: &Header, from: Member) -> Result<(), Rejection> {
        if header.deployment != self.config.deployment {
            return Err(Rejection::ForeignDeployment);
        }
        if header.position != from || from == self.config.own || from.0 >= self.config.candidates {
            return Err(Rejection::Malformed);
        }
        Ok(())
    }

    pub(super) fn count_rejection(&mut self, rejection: Rejection) {
        let counter = match rejection {
            Rejection::Malformed => &mut self.counts.malformed,
            Rejection::ForeignDeployment => &mut self.counts.foreign_deployment,
            Rejection::UnsupportedVersion => &mut self.counts.unsupported_version,
            Rejection::TooOld => &mut self.counts.too_old,
        };
        *counter += 1;
    }

    /// Merges the verdicts and loads of a datagram whose version is accepted.
    fn handle_knowledge(
        &mut self,
        now: Millis,
        from: Member,
        transit: Option<Millis>,
        body: v2::Body,
    ) {
        let verdicts = &body.version_1.verdicts;
        let Some(transit) = transit else {
            // Without a bound on the transit time no ages can be derived; the response to our own probe will have one.
            if !verdicts.is_empty() {
                self.membership.probe(now, from);
            }
            return;
        };
        let mut changed = false;
        for verdict in verdicts {
            changed |= verdict.observer < self.config.candidates
                && self.verdicts.handle_verdict(now, transit, verdict);
        }
        if changed {
            self.membership.disseminate(now);
        }
        // A datagram of version 1 has no loads; merging none has no effect.
        let loads = LoadEntries {
            totals: body.totals,
            unnamed_tenants: body.unnamed_tenants,
            rows: body.rows,
        };
        self.sums.handle_loads(now, transit, from, loads);
    }

    /// Passes a verified header to the version negotiation, unless it is from a process that has ended.
    fn handle_header(&mut self, now: Millis, header: &Header) {
        if self
            .membership
            .is_current(header.position, header.incarnation)
        {
            self.negotiation.handle_announcement(
                now,
                header.position,
                header.incarnation,
                header.supported_versions,
                header.epoch,
            );
        }
    }

    /// Propagates changes of the membership, and restarts of members, to negotiation and verdicts.
    pub(super) fn on_membership_changed(&mut self, now: Millis) {
        for member in std::mem::take(&mut self.membership.restarted) {
            self.verdicts.forget(member);
        }
        for relayed in std::mem::take(&mut self.membership.relayed_versions) {
            let RelayedVersions {
                member,
                incarnation,
                supported_versions,
            } = relayed;
            self.negotiation.handle_announcement(
                now,
                member,
                incarnation,
                supported_versions.into(),
                0,
            );
        }
        if self.membership.take_changed() {
            let mut up = self.membership.up();
            up.retain(|member| *member != self.config.own);
            self.negotiation.handle_members(now, &up);
        }
        if self.membership.take_duplicate() {
            let position = self.config.own.0;
            self.notify(format!(
                "another replica uses this replica's position {position} in the list of peers: names must be unique"
            ));
        }
    }
}

/// Decodes a payload of any version into the body of the highest; fields that its version lacks are empty.
fn decode(version: u8, payload: &[u8]) -> Result<v2::Body, DecodeError> {
    if version > 1 {
        return v2::decode(payload);
    }
    let version_1 = v1::decode(payload)?;
    Ok(v2::Body {
        version_1,
        unnamed_tenants: None,
        rows: Vec::new(),
        totals: Vec::new(),
    })
}
