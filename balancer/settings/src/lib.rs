//! The start-up settings as JSON. Unknown keys are ignored; a missing required key is named.
//!
//! Known to the wire, but read by no decision and so ignored here: names and the lists of names (`dcs`, `kinds`,
//! `tiers`), `blend`, `clients`, `domain_type`, `family_info`, `tick`, `weights`, `worth_by`,
//! `over_share_worth`; of `classes[]` `aim_stretch` and `streaming`; of `charges` all but crossings;
//! of `invariants` `drain_grace` and `grace_to_answer` (the balancer stops, spreads and responds well within
//! them); of `permissions` those to check health, to notify peers, to hedge requests and to give advice (a refusal
//! always says when to return), and the limits of CPU, open requests, connections and dialling; [`Deployment`]
//! has what of these a host of the balancer needs. Of the events the codec ignores health checks and peer messages, and
//! of load reports all but the requests in flight and served; of a request its cost hint and its marks; of an entry of
//! the endpoint list its scale. Never requested: single fetches of the list, and unsubscribing.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod deployment;
mod error;
mod key_names;
mod lengths;
mod setup;

pub use deployment::Deployment;
pub use error::DeploymentError;

/// Reads settings; the text of the error names the key at fault. See [`Deployment::read`].
///
/// # Errors
///
/// The text of a [`DeploymentError`].
pub fn deployment(json: &[u8]) -> Result<Deployment, String> {
    Deployment::read(json).map_err(|error| error.to_string())
}
