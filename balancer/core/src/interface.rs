//! What a [`Balancer`](crate::Balancer) takes and returns: settings, identities, events, actions.
//!
//! Every time is in milliseconds on one clock that only increases; the balancer reads no clock itself.
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
