//! Results of a trial: named metrics at a size.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The metrics measured in one trial.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The requested size.
    pub size: usize,
    /// Metrics by name; a name ends with its unit.
    pub metrics: BTreeMap<String, f64>,
}

impl Sample {
    /// Returns a sample without metrics.
    pub fn new(size: usize) -> Sample {
        Sample {
            size,
            metrics: BTreeMap::new(),
        }
    }

    /// Adds a metric. Non-finite values mark missing measurements and are left out.
    pub fn add(&mut self, name: &str, value: f64) {
        if value.is_finite() {
            self.metrics.insert(name.into(), value);
        }
    }

    /// Adds the median and the maximum of some times, if there are any.
    pub fn add_times(&mut self, name: &str, times: &mut [f64]) {
        times.sort_by(f64::total_cmp);
        if let (Some(median), Some(most)) = (times.get(times.len() / 2), times.last()) {
            self.add(&format!("{name}, median ms"), *median);
            self.add(&format!("{name}, most ms"), *most);
        }
    }
}
