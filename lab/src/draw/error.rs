//! Errors when drawing a plan from an experiment.
use crate::experiment::Millis;
use rand_distr::{ExpError, NormalError};
use thiserror::Error;

/// Why no plan can be drawn from an experiment.
#[derive(Debug, Error)]
pub enum PlanError {
    /// Clients have neither a rate nor a load.
    #[error("clients: neither rate nor load is given")]
    NoRate,
    /// The run would have more requests than the lab supports.
    #[error(
        "clients: {rate:.0} requests per second for {:.0} s exceed the maximum number of requests",
        length / 1000.0
    )]
    TooManyRequests {
        /// Requests per second.
        rate: f64,
        /// Length of the run, in milliseconds.
        length: Millis,
    },
    /// The rate is not valid for drawing intervals between requests.
    #[error("clients.rate: {0}")]
    Rate(#[from] ExpError),
    /// The distribution of request sizes is invalid.
    #[error(transparent)]
    Size(#[from] NormalError),
}
