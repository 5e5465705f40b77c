//! What one trial measured: named metrics at a size.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What was measured in one trial.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The size asked for.
    pub size: usize,
    /// Metrics by name; the name ends with the unit.
    pub metrics: BTreeMap<String, f64>,
}

impl Sample {
    /// Nothing measured yet.
    pub fn new(size: usize) -> Sample {
        Sample {
            size,
            metrics: BTreeMap::new(),
        }
    }

    /// Adds a metric. One that is not finite was not measured and is left out.
    pub fn add(&mut self, name: &str, value: f64) {
        if value.is_finite() {
            self.metrics.insert(name.into(), value);
        }
    }

    /// Adds the median and the greatest of some times; nothing where there are none.
    pub fn add_times(&mut self, name: &str, times: &mut [f64]) {
        times.sort_by(f64::total_cmp);
        if let (Some(median), Some(most)) = (times.get(times.len() / 2), times.last()) {
            self.add(&format!("{name}, median ms"), *median);
            self.add(&format!("{name}, most ms"), *most);
        }
    }
}
