//! The rules, one per file. Each checks an observation, returns a description of a violation and owns its state.
pub(super) mod after_end;
pub(super) mod agreed;
pub(super) mod attempts;
pub(super) mod budget;
pub(super) mod concurrent_attempts;
pub(super) mod drained;
pub(super) mod effects;
pub(super) mod epoch;
pub(super) mod in_share;
pub(super) mod invented;
pub(super) mod lost;
pub(super) mod refused;
pub(super) mod repeated;
pub(super) mod stale;
pub(super) mod trials;
pub(super) mod version;

use crate::experiment::Millis;

/// Allowance added to every time limit of the protocol, for delays of real sockets.
pub(super) const SLACK: Millis = 50.0;
