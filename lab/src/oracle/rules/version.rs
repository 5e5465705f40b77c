//! No balancer sends a version that a live member has not announced. Owns the pairs for which this is currently
//! violated, so that each period is reported once.
use crate::experiment::Millis;
use crate::oracle::members::Members;
use std::collections::HashSet;

/// Senders of a version and the members that do not support it.
pub(crate) struct Versions {
    grace: Millis,
    unsupported: HashSet<(usize, usize)>,
}

impl Versions {
    /// `grace`: how long a member's announcement may be in transit.
    pub(crate) fn new(grace: Millis) -> Versions {
        Versions {
            grace,
            unsupported: HashSet::new(),
        }
    }

    /// Checks the version of a datagram. Returns the first member that has not announced it, with its version range.
    pub(crate) fn sent(
        &mut self,
        now: Millis,
        from: usize,
        version: u8,
        members: &Members,
    ) -> Option<(usize, (u8, u8))> {
        let mut first = None;
        for other in members.others(from) {
            let known = members
                .known_for(from, other, now)
                .is_some_and(|known| known > self.grace);
            let reads = members.get(other).reads;
            let unsupported =
                reads.filter(|(least, most)| known && !(*least..=*most).contains(&version));
            match unsupported {
                Some(reads) if self.unsupported.insert((from, other)) => {
                    first = first.or(Some((other, reads)))
                }
                Some(_) => {}
                None => _ = self.unsupported.remove(&(from, other)),
            }
        }
        first
    }
}
