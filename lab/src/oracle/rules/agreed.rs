//! Once nothing has changed for the configured time, all members of a tier send the highest version that all of them
//! support. Owns the set of members that do not, so that each lagging period is reported once.
use crate::experiment::Millis;
use crate::oracle::members::Members;
use std::collections::HashSet;

/// Members that send a lower version than they should.
pub(crate) struct Agreed {
    within: Option<Millis>,
    lagging: HashSet<usize>,
}

impl Agreed {
    /// Without a time limit nothing is checked.
    pub(crate) fn new(within: Option<Millis>) -> Agreed {
        Agreed {
            within,
            lagging: HashSet::new(),
        }
    }

    /// Checks the version of a datagram. Returns the expected version at the start of a violation.
    pub(crate) fn sent(
        &mut self,
        now: Millis,
        from: usize,
        version: u8,
        members: &Members,
    ) -> Option<u8> {
        let (common, unchanged_for) = members.common(from, now)?;
        if version >= common || unchanged_for <= self.within? {
            self.lagging.remove(&from);
            return None;
        }
        self.lagging.insert(from).then_some(common)
    }
}
