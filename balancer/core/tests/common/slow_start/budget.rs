//! Compares the calls sent to upstreams in slow start with their budgets.
use super::fleet::{Fleet, Start};
use super::*;

/// A window in which calls are counted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Window {
    pub calls: usize,
    /// Maximum number of calls allowed in it.
    pub budget: f64,
    /// Age of the upstream at its end.
    pub age: f64,
}

impl Window {
    fn usage(&self) -> f64 {
        self.calls as f64 / self.budget
    }
}

/// Summary of the calls sent to upstreams in slow start.
pub(crate) struct Outcome {
    /// Calls relative to the budget in the worst window.
    pub worst_use: f64,
    pub worst_window: Window,
    /// Calls sent to upstreams in slow start, as a fraction of those allowed over the whole slow start.
    pub used: f64,
    /// Calls that upstreams in slow start served.
    pub served_in_slow_start: usize,
    /// Client requests since the restart.
    pub requested: usize,
    /// Client requests since the restart that were served.
    pub served_requests: usize,
}

/// Minimum capacity of an upstream at this age, as a fraction of its full capacity.
pub(crate) fn slow_start_weight(age: f64) -> f64 {
    (SLOW_START_FROM + (1.0 - SLOW_START_FROM) * age / SLOW_START_TIME).min(1.0)
}

/// Maximum number of calls in a window for which the settings allow `n`, with slack for random variation.
pub(crate) fn budget(n: f64) -> f64 {
    let slack = if n < 30.0 { 3.0 } else { 2.0 };
    n + slack * n.sqrt() + slack
}

impl Fleet {
    pub(super) fn summarize(&self) -> Outcome {
        let mut worst_window = Window::default();
        let mut worst_use = 0.0;
        let mut allowed = 0.0;
        let mut sent = 0;
        for (start, sends) in &self.sends {
            for window in self.windows(start, sends) {
                if window.usage() > worst_use {
                    worst_use = window.usage();
                    worst_window = window;
                }
                sent += 1;
            }
            allowed += self.allowed(start);
        }
        Outcome {
            worst_use,
            worst_window,
            used: f64::from(sent) / allowed,
            served_in_slow_start: self.served_in_slow_start,
            requested: self.requested,
            served_requests: self.served_requests,
        }
    }

    /// The windows that end with each call to an upstream in slow start.
    fn windows(&self, start: &Start, sends: &[f64]) -> Vec<Window> {
        let (id, since) = (start.0, start.1 as f64);
        let capacity = self.scenario.capacity * (self.scenario.relative_capacity)(id);
        let mut first = 0;
        let mut windows = Vec::new();
        for (last, &at) in sends.iter().enumerate() {
            let age = at - since;
            if age >= SLOW_START_TIME {
                continue;
            }
            while sends[first] <= at - WINDOW {
                first += 1;
            }
            let multiple = OVERLOAD_MULTIPLE * slow_start_weight(age);
            windows.push(Window {
                calls: last + 1 - first,
                budget: budget(multiple * capacity * WINDOW / 1000.0),
                age,
            });
        }
        windows
    }

    /// Calls that the overload multiple allows during a slow start, until it ends or the upstream restarts.
    fn allowed(&self, start: &Start) -> f64 {
        let (id, since) = (start.0, start.1 as f64);
        let capacity = self.scenario.capacity * (self.scenario.relative_capacity)(id);
        let next = self
            .sends
            .keys()
            .find(|start| start.0 == id && start.1 as f64 > since);
        let until = next.map_or(self.scenario.span, |start| start.1 as f64);
        let span = (until - since).min(SLOW_START_TIME);
        let weights = SLOW_START_FROM + slow_start_weight(span);
        OVERLOAD_MULTIPLE * capacity * span / 1000.0 * weights / 2.0
    }
}
