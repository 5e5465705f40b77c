//! Public types of a [`Balancer`](crate::Balancer): settings, identifiers, events and actions.
//!
//! All times are in milliseconds on one monotonic clock, supplied by the caller.
mod actions;
mod checks;
mod endpoints;
mod events;
mod ids;
mod learned;
mod settings;
mod settings_error;
mod stored_form;
mod tier;

pub use actions::*;
pub(crate) use endpoints::ListKind;
pub use endpoints::*;
pub use events::*;
pub use ids::*;
pub use learned::*;
pub use settings::*;
pub use settings_error::*;
pub use tier::*;
