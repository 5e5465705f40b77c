//! Attempts beyond the first, of all balancers into a tier together, stay within a part of first attempts. Owns the
//! counts of the last seconds.
use crate::experiment::Millis;
use std::collections::{HashMap, VecDeque};

/// What is counted together, in seconds.
const WINDOW: usize = 5;
/// A window may have so many in any case: a part of next to nothing is no metric.
const SPARE: f64 = 20.0;

/// First and further attempts of one second.
type Second = (u64, u64, u64);

/// Attempts into each tier.
pub(crate) struct Budget {
    part: Option<f64>,
    tiers: HashMap<usize, VecDeque<Second>>,
}

impl Budget {
    /// Without a part nothing is judged.
    pub(crate) fn new(part: Option<f64>) -> Budget {
        Budget {
            part,
            tiers: HashMap::new(),
        }
    }

    /// An attempt has come to a tier; says what the last seconds held if that is too much.
    pub(crate) fn attempt(&mut self, now: Millis, tier: usize, first: bool) -> Option<String> {
        let part = self.part?;
        let second = (now.max(0.0) / 1000.0) as u64;
        let seconds = self.tiers.entry(tier).or_default();
        let mut case = None;
        if seconds.back().is_none_or(|s| s.0 < second) {
            // One that is over is judged once.
            let (firsts, retries) = seconds
                .iter()
                .fold((0, 0), |sum, s| (sum.0 + s.1, sum.1 + s.2));
            if retries as f64 > part * firsts as f64 + SPARE {
                case = Some(format!(
                    "{retries} further attempts beside {firsts} first ones in {WINDOW} s"
                ));
            }
            seconds.push_back((second, 0, 0));
            while seconds
                .front()
                .is_some_and(|s| s.0 + WINDOW as u64 <= second)
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
