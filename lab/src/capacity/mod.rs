//! Measures the resource usage of a balancer as one dimension grows: the upstream list, its changes, requests, calls in
//! flight, tenants, clients or the tier. `docs/CAPACITY.md` is derived from the fitted slopes.
//!
//! [`scenario`] defines the environment of the balancers at a size, `trial` measures it once and [`sample`] holds the
//! result. [`fit`] fits a line to the samples and [`table`] prints them. [`hollow`] is the only part of the lab that
//! runs the balancer's own code: the peer protocol without the rest of a balancer, so that one process can run a tier
//! of hundreds of members.
mod accounting;
mod balancer;
mod clients;
mod discovery;
pub mod error;
pub mod fit;
pub mod hollow;
mod http;
pub mod sample;
pub mod scenario;
pub mod sweep;
pub mod table;
mod trial;
mod upstreams;
