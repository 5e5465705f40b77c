//! Counts keyed requests that take effect more than once. This is not a rule: the balancer is not responsible for
//! duplicate execution by upstreams. Owns which keys were executed where.
use crate::experiment::Millis;
use crate::oracle::facts::{group, ClassRules, Place};
use std::collections::HashMap;

/// Where and when each key was executed.
#[derive(Default)]
pub(crate) struct Effects {
    ran: HashMap<u64, Vec<(u64, Millis)>>,
    /// Number of keyed requests that took effect more than once.
    pub twice: u64,
}

impl Effects {
    /// Records the execution of a keyed request. Returns whether it is a duplicate that the upstream discards.
    pub(crate) fn effect(
        &mut self,
        now: Millis,
        key: u64,
        rules: ClassRules,
        place: Place,
    ) -> bool {
        let at = group(rules.group, place);
        let ran = self.ran.entry(key).or_default();
        if ran
            .iter()
            .any(|&(group, first)| group == at && now - first <= rules.window)
        {
            return true;
        }
        ran.push((at, now));
        self.twice += u64::from(ran.len() > 1);
        false
    }
}
