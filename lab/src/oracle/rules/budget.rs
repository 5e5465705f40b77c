//! Retries of all balancers into a tier stay within a fraction of first attempts. Owns the counts of the last seconds.
use crate::experiment::Millis;
use std::collections::{HashMap, VecDeque};

/// Length of the sliding window, in seconds.
const WINDOW_S: usize = 5;
/// Retries allowed in every window: with few first attempts the ratio alone says little.
const MIN_RETRIES: f64 = 20.0;

/// A second of the run, its first attempts and its retries.
type Second = (u64, u64, u64);

/// Counts of attempts into each tier.
pub(crate) struct Budget {
    ratio: Option<f64>,
    tiers: HashMap<usize, VecDeque<Second>>,
}

impl Budget {
    /// Without a ratio nothing is checked.
    pub(crate) fn new(ratio: Option<f64>) -> Budget {
        Budget {
            ratio,
            tiers: HashMap::new(),
        }
    }

    /// Counts an attempt into a tier. Returns a description if the last window exceeded the budget.
    pub(crate) fn attempt(&mut self, now: Millis, tier: usize, first: bool) -> Option<String> {
        let ratio = self.ratio?;
        let second = (now.max(0.0) / 1000.0) as u64;
        let seconds = self.tiers.entry(tier).or_default();
        let mut case = None;
        if seconds.back().is_none_or(|s| s.0 < second) {
            // Each window is checked once, after its last second has ended.
            let (firsts, retries) = seconds
                .iter()
                .fold((0, 0), |sum, s| (sum.0 + s.1, sum.1 + s.2));
            if retries as f64 > ratio * firsts as f64 + MIN_RETRIES {
                case = Some(format!(
                    "{retries} retries for {firsts} first attempts in {WINDOW_S} s"
                ));
            }
            seconds.push_back((second, 0, 0));
            while seconds
                .front()
                .is_some_and(|s| s.0 + WINDOW_S as u64 <= second)
            {
                seconds.pop_front();
            }
        }
        if let Some(last) = seconds.back_mut() {
            let count = if first { &mut last.1 } else { &mut last.2 };
            *count += 1;
        }
        case
    }
}
