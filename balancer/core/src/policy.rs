//! Every decision of the balancer. The types of its interface are in `interface`, its records in `state`.
//!
//! Ordinary path of a request: count it as its tenant's demand; admit it when its tenant is within its
//! limit or the cycle's capacity is not used up, refuse it otherwise; send it to the less busy of two
//! random ready upstreams by our own calls in flight. Everything else here is an exception to that, and
//! says which failure it guards against.
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
