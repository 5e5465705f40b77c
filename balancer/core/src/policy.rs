//! Decision logic of the balancer. Its public types are in `interface`, its data structures in `state`.
//!
//! Normal path of a request: count it towards its tenant's demand; admit it if the tenant is within its limit or the
//! cycle's capacity is not used up, otherwise refuse it; send it to the one of two random ready upstreams that has
//! fewer calls of this instance in flight. Everything else handles exceptions, and states the failure that it
//! guards against.
mod admission;
mod attempts;
mod capacity;
mod ejection;
mod endpoints;
mod events;
mod idle_connections;
mod limits;
mod load_reports;
mod load_shedding;
mod locality;
mod outcomes;
mod overdue;
mod pick;
mod requests;
mod response_times;
mod restore;
mod slow_start;
mod subset;
mod tier;
mod zones;

pub use limits::limits;
