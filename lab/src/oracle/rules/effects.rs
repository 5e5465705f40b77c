//! Effects of keyed requests: not a rule by itself, as an upstream that repeats is not the balancer's doing; counted.
//! Owns which keys have run where.
use crate::experiment::Millis;
use crate::oracle::facts::{group, ClassRules, Place};
use std::collections::HashMap;

/// Which keys have run where, and when.
#[derive(Default)]
pub(crate) struct Effects {
    ran: HashMap<u64, Vec<(u64, Millis)>>,
    /// Keyed requests whose effect came about more than once.
    pub twice: u64,
}

impl Effects {
    /// The work of a keyed request was done; says whether its effect came about already, so that this was dropped.
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
