//! Why no plan could be drawn from an experiment.
use crate::experiment::Millis;
use rand_distr::{ExpError, NormalError};
use thiserror::Error;

/// What the values of an experiment together do not allow.
#[derive(Debug, Error)]
pub enum PlanError {
    /// Clients have neither a rate nor a load.
    #[error("clients: neither rate nor load")]
    NoRate,
    /// There would be more requests than the lab can hold.
    #[error("clients: {rate:.0} requests a second for {:.0} s are too many", length / 1000.0)]
    TooManyRequests {
        /// Requests a second.
        rate: f64,
        /// For how long, in milliseconds.
        length: Millis,
    },
    /// No gaps between requests can be drawn at a rate.
    #[error("clients.rate: {0}")]
    Rate(#[from] ExpError),
    /// No sizes of requests can be drawn.
    #[error(transparent)]
    Size(#[from] NormalError),
}
