//! The load that an upstream reports of itself.
use crate::experiment::Millis;

/// The load report that answers carry, and the next one, which shows later.
pub(super) struct LoadReport {
    pub(super) at: Millis,
    pub(super) text: String,
    pub(super) next: Option<(Millis, String)>,
}
