//! Locations of machines: their failure domains.
use crate::{hash::fnv1a, Member};
use minicbor::{Decode, Encode};

/// Identifier of a zone or region: a hash of its name, equal on all machines. Zero means unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct FailureDomainId(#[n(0)] pub u64);

impl FailureDomainId {
    /// The failure domain with a name (64-bit FNV-1a); unknown for an empty name.
    pub fn from_name(name: &str) -> FailureDomainId {
        if name.is_empty() {
            return FailureDomainId::default();
        }
        FailureDomainId(fnv1a(name.as_bytes()))
    }
}

/// The zone and the region of a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Location {
    /// The zone.
    #[n(0)]
    pub zone: FailureDomainId,
    /// The region.
    #[n(1)]
    pub region: FailureDomainId,
}

/// The location of a member of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MemberLocation {
    /// The member.
    #[n(0)]
    pub member: Member,
    /// Its zone and region.
    #[n(1)]
    pub location: Location,
}
