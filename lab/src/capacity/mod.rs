//! Measures what one balancer costs as one thing grows: the list, its changes, requests, calls in flight, tenants,
//! clients or the tier. `docs/CAPACITY.md` is worked out from its slopes.
//!
//! [`scenario`] says what stands around the balancers at a size, `trial` plays it once and [`sample`] holds what came
//! of it. [`fit`] puts a line through the samples and [`table`] prints them. [`hollow`] is the one part of the lab that
//! runs the program's own code, the peers' protocol without the rest of a balancer, so that one process can hold a tier
//! of hundreds.
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
