//! Attempts of all balancers at a failing zone stay within a number per second. Owns the counts.
use crate::experiment::Millis;
use std::collections::HashMap;

/// A limit on attempts.
#[derive(Clone, Debug)]
pub struct Bound {
    /// Index of the zone.
    pub zone: usize,
    /// Restricts the limit to this tier.
    pub tier: Option<usize>,
    /// Start and end of the interval in which the limit applies.
    pub during: (Millis, Millis),
    /// Maximum number of attempts in any second.
    pub most: u64,
}

/// Attempts per limit and second.
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

    /// Counts an attempt. Returns the limit that it exceeds; each second that exceeds a limit is reported once.
    pub(crate) fn attempt(&mut self, now: Millis, zone: usize, tier: usize) -> Option<u64> {
        let mut exceeded = None;
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
                exceeded = Some(bound.most);
            }
        }
        exceeded
    }
}
