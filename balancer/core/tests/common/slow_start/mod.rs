//! Simulates many balancers with upstreams of which some are in slow start, and counts the calls to these.
mod budget;
mod events;
mod fleet;
mod scenario;

pub(crate) use budget::{slow_start_weight, Outcome};
pub(crate) use scenario::Scenario;

use fleet::Fleet;

/// Window in which calls to an upstream in slow start are counted, in milliseconds.
pub(crate) const WINDOW: f64 = 3000.0;
/// When upstreams restart, in milliseconds; late enough for balancers to have learned the load.
pub(crate) const RESTART_AT: f64 = 5000.0;
pub(crate) const SLOW_START_TIME: f64 = 20_000.0;
pub(crate) const SLOW_START_FROM: f64 = 0.15;
pub(crate) const OVERLOAD_MULTIPLE: f64 = 2.5;

/// Runs a scenario and compares the calls in every sliding window with the budget at its end.
pub(crate) fn run_scenario(scenario: Scenario) -> Outcome {
    let mut fleet = Fleet::new(scenario);
    fleet.run();
    fleet.summarize()
}
