//! The configuration of the tier protocol. Owns no state.
use super::addresses::UnparsedAddresses;
use crate::options::PeerOptions;
use balancer_gossip::{Config, Member, VersionRange, SUPPORTED_VERSIONS};
use balancer_settings::Deployment;

/// The inputs of the protocol configuration.
pub(crate) struct TierConfig<'a> {
    /// The settings.
    pub deployment: &'a Deployment,
    /// Unparsed addresses from the configuration.
    pub addresses: &'a UnparsedAddresses,
    /// The operator's options.
    pub options: &'a PeerOptions,
    /// A number that increases with each start of this replica.
    pub incarnation: u64,
    /// Seed of random numbers.
    pub seed: u64,
}

/// Returns the protocol configuration for this start of this replica.
pub(super) fn config(tier: &TierConfig<'_>) -> Config {
    let policy = &tier.deployment.policy;
    let to_u16 = |number: u32| u16::try_from(number).unwrap_or(u16::MAX);
    Config {
        own: Member(to_u16(policy.index)),
        candidates: to_u16(policy.balancers),
        incarnation: tier.incarnation,
        seed: tier.seed,
        zone: policy.zone,
        // Without configured tenants, all requests belong to a single tenant.
        tenants: u16::try_from(policy.tenants.len().max(1)).unwrap_or(u16::MAX),
        deployment: deployment_hash(tier.deployment),
        supported_versions: VersionRange {
            min: SUPPORTED_VERSIONS.min,
            max: SUPPORTED_VERSIONS.max.min(tier.options.max_version),
        },
    }
}

/// Returns a hash of the settings that give positions and sums their meaning. Replicas accept data from each other only
/// if their hashes match.
fn deployment_hash(deployment: &Deployment) -> u32 {
    let mut hash = crc32fast::Hasher::new();
    for list in [&deployment.tenants, &deployment.classes, &deployment.zones] {
        for name in list {
            // The length prefix keeps adjacent names distinct.
            hash.update(&(name.len() as u64).to_be_bytes());
            hash.update(name.as_bytes());
        }
        hash.update(&u64::MAX.to_be_bytes());
    }
    hash.update(&deployment.policy.stage.to_be_bytes());
    hash.update(&deployment.policy.balancers.to_be_bytes());
    hash.finalize()
}
