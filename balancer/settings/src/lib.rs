//! Reads start-up settings from JSON. Unknown keys are ignored; the error for a missing required key names it.
//!
//! Some settings of the simulator's wire affect no decision of the balancer and are not passed to it:
//! - names and the lists of names (`dcs`, `kinds`, `tiers`), `blend`, `clients`, `domain_type`, `family_info`, `tick`,
//!   `weights`, `worth_by` and `over_share_worth`;
//! - in `classes[]`, `aim_stretch` and `streaming`;
//! - in `charges`, everything except the price of crossing zones;
//! - in `invariants`, `drain_grace` and `grace_to_answer`: the balancer shuts down, distributes load and responds well
//!   within them;
//! - in `permissions`, the permissions for health checks, messages to peers, hedged requests and retry advice (a
//!   refusal always carries a retry delay), and the limits on CPU, open requests, connections and dialling.
//!
//! [`Deployment`] holds those of them that a host of the balancer needs.
//!
//! The simulator's codec also ignores health check and peer message events, all columns of load reports except requests
//! in flight and requests served, the cost hint and flags of a request, and the scale of an endpoint list entry. It
//! never fetches the endpoint list once or unsubscribes from it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod deployment;
mod error;
mod key_names;
mod lengths;
mod setup;

pub use deployment::Deployment;
pub use error::DeploymentError;

/// Reads settings. The error message names the invalid key. See [`Deployment::read`].
///
/// # Errors
///
/// Returns the message of the [`DeploymentError`].
pub fn deployment(json: &[u8]) -> Result<Deployment, String> {
    Deployment::read(json).map_err(|error| error.to_string())
}
