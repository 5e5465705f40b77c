//! The signals that the platform and operators send.
use crate::error::ProgramError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals that a process heeds.
pub(crate) struct Signals {
    /// End soon.
    pub terminate: Signal,
    /// The settings file has changed.
    pub hangup: Signal,
}

impl Signals {
    /// Begins to heed them.
    ///
    /// # Errors
    /// When the system refuses.
    pub(crate) fn heed() -> Result<Signals, ProgramError> {
        let open = |kind| {
            signal(kind).map_err(|source| ProgramError::System {
                what: "signals",
                source,
            })
        };
        Ok(Signals {
            terminate: open(SignalKind::terminate())?,
            hangup: open(SignalKind::hangup())?,
        })
    }
}
