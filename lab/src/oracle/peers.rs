//! Observations between balancers: their datagrams, liveness and partitions.
use super::facts::Limits;
use super::header::Header;
use super::members::Members;
use super::rule::Rule;
use super::rules::{agreed::Agreed, epoch::Epochs, version::Versions};
use crate::experiment::Millis;

/// The rules on datagrams and their state.
pub(super) struct Peers {
    pub members: Members,
    versions: Versions,
    epochs: Epochs,
    agreed: Agreed,
}

impl Peers {
    pub(super) fn new(members: &[(usize, usize)], limits: &Limits) -> Peers {
        Peers {
            members: Members::new(members.iter().copied()),
            versions: Versions::new(limits.version_grace),
            epochs: Epochs::default(),
            agreed: Agreed::new(limits.agree),
        }
    }

    /// Checks a datagram that a balancer sends. Returns the violations.
    pub(super) fn datagram(
        &mut self,
        now: Millis,
        from: usize,
        bytes: &[u8],
        names: &[String],
    ) -> Vec<(Rule, String)> {
        let name = &names[from];
        let header = match Header::read(bytes) {
            Ok(header) if header.place == self.members.get(from).place => header,
            Ok(h) => {
                return vec![(
                    Rule::Header,
                    format!(
                        "{name} sent a datagram with the member index {} of another balancer",
                        h.place
                    ),
                )]
            }
            Err(error) => return vec![(Rule::Header, format!("{name} sent a datagram {error}"))],
        };
        let Header {
            version,
            incarnation,
            epoch,
            ..
        } = header;
        let mut found = Vec::new();
        self.members.record_version(from, &header, now);
        if let Some((other, (least, most))) = self.versions.sent(now, from, version, &self.members)
        {
            let case = format!(
                "{name} sends version {version}; {} reads {least} to {most}",
                names[other]
            );
            found.push((Rule::Version, case));
        }
        if let Some(before) = self.epochs.sent(from, incarnation, epoch) {
            let case =
                format!("{name} sent epoch {epoch} after {before} in incarnation {incarnation}");
            found.push((Rule::Epoch, case));
        }
        if let Some(common) = self.agreed.sent(now, from, version, &self.members) {
            found.push((
                Rule::Agreed,
                format!("{name} sends version {version}; all members read {common}"),
            ));
        }
        found
    }
}
