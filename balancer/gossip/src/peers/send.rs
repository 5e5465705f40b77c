//! Encoding of outgoing messages and of the data piggybacked on them.
use super::Peers;
use crate::membership::{OutgoingMessage, Piggyback};
use crate::types::Member;
use crate::wire::v1::{Head, MembershipDigest, MessageKind};
use crate::wire::{self, v1, v2, Header, MAX_PAYLOAD_LEN};

impl Peers {
    /// Encodes a message with the data piggybacked on it.
    pub(super) fn encode(&mut self, message: &OutgoingMessage) -> Vec<u8> {
        let version = self.version_for(message.to);
        let mut body = v2::Body {
            version_1: self.version_1_body(message),
            unnamed_tenants: None,
            rows: Vec::new(),
            totals: Vec::new(),
        };
        let payload = if version == 1 {
            v1::encode(&mut body.version_1, MAX_PAYLOAD_LEN)
        } else {
            if message.piggyback == Piggyback::Full {
                let with_tenants = message.kind == MessageKind::Ping;
                let loads = self.sums.outgoing(self.now, with_tenants, &mut self.rng);
                body.totals = loads.totals;
                body.unnamed_tenants = loads.unnamed_tenants;
                body.rows = loads.rows;
            }
            v2::encode(&mut body, MAX_PAYLOAD_LEN)
        };
        self.membership.on_updates_written(&body.version_1.updates);
        let header = Header {
            version,
            supported_versions: self.config.supported_versions,
            position: self.config.own,
            incarnation: self.membership.incarnation(),
            deployment: self.config.deployment,
            epoch: self.negotiation.epoch(),
        };
        wire::seal(&header, &payload)
    }

    /// The version to use for a candidate; one that isn't up may support only the lowest.
    fn version_for(&self, to: Member) -> u8 {
        let supported = self.config.supported_versions;
        let version = if self.membership.is_up(to) {
            self.negotiation.version()
        } else {
            supported.min
        };
        version.clamp(supported.min, supported.max)
    }

    fn version_1_body(&mut self, message: &OutgoingMessage) -> v1::Body {
        let now = self.now;
        let head = Head {
            kind: message.kind,
            stamp: self.clocks.stamp(now),
            echo: self.clocks.echo(now, message.to),
            target: message.target,
            recent_failures: self.membership.recent_failures(now),
        };
        let is_full = message.piggyback == Piggyback::Full;
        // An acknowledgement always carries the digest, the most compact form when many members fail at once.
        let digest = if message.kind == MessageKind::Ack || is_full {
            self.membership.digest()
        } else {
            MembershipDigest::default()
        };
        let updates = self.membership.updates(now, message);
        let verdicts = if message.kind == MessageKind::Gossip || is_full {
            self.verdicts.outgoing(now, &mut self.rng)
        } else {
            Vec::new()
        };
        v1::Body {
            head,
            digest,
            updates,
            verdicts,
        }
    }
}
