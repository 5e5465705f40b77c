//! Many balancers before upstreams of which some are in slow start, on simulated time: counts what these are sent.
mod budget;
mod events;
mod fleet;
mod scenario;

pub(crate) use budget::{slow_start_weight, Outcome};
pub(crate) use scenario::Scenario;

use fleet::Fleet;

/// The window in which calls to an upstream in slow start are counted, in milliseconds.
pub(crate) const WINDOW: f64 = 3000.0;
/// When upstreams restart; what balancers learn before is learned by then.
pub(crate) const RESTART_AT: f64 = 5000.0;
pub(crate) const SLOW_START_TIME: f64 = 20_000.0;
pub(crate) const SLOW_START_FROM: f64 = 0.15;
pub(crate) const OVERLOAD_MULTIPLE: f64 = 2.5;

/// Plays a day and counts the calls of every sliding window against the budget at its end.
pub(crate) fn play(scenario: Scenario) -> Outcome {
    let mut fleet = Fleet::new(scenario);
    fleet.run();
    fleet.judge()
}
