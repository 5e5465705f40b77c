//! What the tier's protocol is told at its start. Owns no state.
use balancer_gossip::{Config, Member, VersionRange, SUPPORTED_VERSIONS};
use balancer_settings::Deployment;

/// Its configuration at one start of this copy.
pub(super) fn config(d: &Deployment, incarnation: u64, seed: u64, version_most: u8) -> Config {
    let number = |n: u32| u16::try_from(n).unwrap_or(u16::MAX);
    Config {
        own: Member(number(d.policy.index)),
        candidates: number(d.policy.balancers),
        incarnation,
        seed,
        zone: d.policy.zone,
        // Without names all requests are one tenant's.
        tenants: u16::try_from(d.policy.tenants.len().max(1)).unwrap_or(u16::MAX),
        deployment: hash(d),
        supported_versions: VersionRange {
            min: SUPPORTED_VERSIONS.min,
            max: SUPPORTED_VERSIONS.max.min(version_most),
        },
    }
}

/// A hash of what positions and sums rest on, the same at every copy of a tier that may be believed.
fn hash(d: &Deployment) -> u32 {
    let mut hash = crc32fast::Hasher::new();
    for list in [&d.tenants, &d.classes, &d.zones] {
        for name in list {
            // No name can run on into the next.
            hash.update(&(name.len() as u64).to_be_bytes());
            hash.update(name.as_bytes());
        }
        hash.update(&u64::MAX.to_be_bytes());
    }
    hash.update(&d.policy.stage.to_be_bytes());
    hash.update(&d.policy.balancers.to_be_bytes());
    hash.finalize()
}
