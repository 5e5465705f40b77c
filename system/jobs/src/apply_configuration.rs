//! Commands that replace the configuration or claim a singleton role.
use crate::{
    change::{Change, Outcome},
    transition::Transition,
    RoleState,
};
use magpiegap_protocol::{fnv1a, FencingToken, ReplicaId, Role};

/// Hashes the base version and body, to distinguish configurations submitted with the same version number.
fn fingerprint(base: u64, body: &[u8]) -> u64 {
    fnv1a(base.to_le_bytes().iter().chain(body))
}

impl Transition<'_> {
    pub(crate) fn replace_configuration(
        &mut self,
        base: u64,
        version: u64,
        body: &[u8],
        change: &[u8],
    ) -> Outcome {
        let current = &mut self.state.configuration;
        let fingerprint = fingerprint(base, body);
        if current.fingerprints.get(&version) == Some(&fingerprint) {
            return Outcome::Repeated;
        }
        if base != current.version {
            return Outcome::Conflict;
        }
        if version <= current.version {
            return Outcome::Stale;
        }
        current.replace(version, body, change, fingerprint);
        self.changes.push(Change::ConfigurationReplaced);
        Outcome::Done
    }

    pub(crate) fn claim_role(
        &mut self,
        role: &Role,
        holder: ReplicaId,
        expected: FencingToken,
    ) -> Outcome {
        if self.state.fencing_token(role) != expected {
            return Outcome::NotApplicable;
        }
        let Some(token) = expected.checked_next() else {
            return Outcome::NotApplicable;
        };
        let claimed = RoleState { holder, token };
        self.state.roles.insert(role.clone(), claimed);
        self.changes.push(Change::RoleClaimed(role.clone()));
        Outcome::Done
    }
}
