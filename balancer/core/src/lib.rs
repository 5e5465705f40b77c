//! Decision logic of a load balancer for service-to-service calls, as a sans-I/O state machine.
//!
//! A [`Balancer`] receives events ([`Event`]) and returns the actions to perform ([`Action`]); it opens no
//! socket, reads no clock and shares no state with other instances.
//!
//! ```
//! use balancer_core::*;
//!
//! let mut balancer = Balancer::new(Settings::default(), 7, 0.0).expect("settings");
//! let mut actions = Vec::new();
//! let (zone, kind, group, availability) = (0, 0, 0, Availability::Ready);
//! let endpoint = Endpoint { id: UpstreamId(1), zone, kind, group, availability, since: 0.0 };
//! balancer.handle(0.0, Event::EndpointUpdate(EndpointUpdate::Full(vec![endpoint])), &mut actions);
//! actions.clear();
//!
//! let id = RequestId(1);
//! let request = Request { id, class: 0, tenant: 0, deadline: 3000.0, tie: 1 };
//! balancer.handle(1.0, Event::Request(request), &mut actions);
//! assert!(matches!(actions[0], Action::Send { request, upstream: UpstreamId(1), .. } if request == id));
//!
//! actions.clear();
//! let outcome = Event::Outcome { request: id, attempt: 0, ending: Ending::Ok, duration: 20.0, closed: true };
//! balancer.handle(21.0, outcome, &mut actions);
//! assert!(actions.is_empty(), "a served request needs no further action");
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod interface;
mod policy;
mod state;

pub use interface::*;
pub use policy::limits;
pub use state::Balancer;

/// Runs the README's example with the documentation tests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
