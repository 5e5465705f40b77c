//! Once nothing has changed for the stated time all of a tier speak the highest version that all of them read. Owns who
//! does not, so that each time that it begins is one case.
use crate::experiment::Millis;
use crate::oracle::members::Members;
use std::collections::HashSet;

/// Who lags.
pub(crate) struct Agreed {
    within: Option<Millis>,
    lags: HashSet<usize>,
}

impl Agreed {
    /// Without a time nothing is judged.
    pub(crate) fn new(within: Option<Millis>) -> Agreed {
        Agreed {
            within,
            lags: HashSet::new(),
        }
    }

    /// A balancer sends a datagram of this version; says which it should be by now.
    pub(crate) fn sent(
        &mut self,
        now: Millis,
        from: usize,
        version: u8,
        members: &Members,
    ) -> Option<u8> {
        let (common, still) = members.common(from, now)?;
        if version >= common || still <= self.within? {
            self.lags.remove(&from);
            return None;
        }
        self.lags.insert(from).then_some(common)
    }
}
