//! Attempts of all balancers together at a zone that does no good stay within a number a second. Owns the counts.
use crate::experiment::Millis;
use std::collections::HashMap;

/// One bound.
#[derive(Clone, Debug)]
pub struct Bound {
    /// The zone, by position.
    pub zone: usize,
    /// Only at this tier.
    pub tier: Option<usize>,
    /// From and to.
    pub during: (Millis, Millis),
    /// In any second, at most.
    pub most: u64,
}

/// Attempts by bound and second.
pub(crate) struct Counts {
    bounds: Vec<Bound>,
    seen: HashMap<(usize, u64), u64>,
}

impl Counts {
    pub(crate) fn new(bounds: Vec<Bound>) -> Counts {
        Counts {
            bounds,
            seen: HashMap::new(),
        }
    }

    /// An attempt has come to an upstream there; says which bound it passes. Each second that passes one is one case.
    pub(crate) fn attempt(&mut self, now: Millis, zone: usize, tier: usize) -> Option<u64> {
        let mut passed = None;
        for (i, bound) in self.bounds.iter().enumerate() {
            let (from, to) = bound.during;
            if bound.zone != zone
                || bound.tier.is_some_and(|t| t != tier)
                || !(from..to).contains(&now)
            {
                continue;
            }
            let seen = self.seen.entry((i, (now / 1000.0) as u64)).or_default();
            *seen += 1;
            if *seen == bound.most + 1 {
                passed = Some(bound.most);
            }
        }
        passed
    }
}
