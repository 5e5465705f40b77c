//! Nobody sends a version that a live member has not announced. Owns between whom that is the case now, so that each
//! time that it begins is one case.
use crate::experiment::Millis;
use crate::oracle::members::Members;
use std::collections::HashSet;

/// Who speaks past whom.
pub(crate) struct Versions {
    grace: Millis,
    past: HashSet<(usize, usize)>,
}

impl Versions {
    /// `grace`: how long an announcement of a member may be in transit.
    pub(crate) fn new(grace: Millis) -> Versions {
        Versions {
            grace,
            past: HashSet::new(),
        }
    }

    /// A balancer sends a datagram of this version; names the member that has not announced it, and what it reads.
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
            let past = reads.filter(|(least, most)| known && !(*least..=*most).contains(&version));
            match past {
                Some(reads) if self.past.insert((from, other)) => {
                    first = first.or(Some((other, reads)))
                }
                Some(_) => {}
                None => _ = self.past.remove(&(from, other)),
            }
        }
        first
    }
}
