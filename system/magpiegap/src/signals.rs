//! The signals that the platform and operators send.
use crate::error::ProgramError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals that a process listens for.
pub(crate) struct Signals {
    /// End soon.
    pub terminate: Signal,
    /// The settings file has changed.
    pub hangup: Signal,
}

impl Signals {
    /// Begins to listen for them.
    ///
    /// # Errors
    /// When the system refuses.
    pub(crate) fn listen() -> Result<Signals, ProgramError> {
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

    /// Waits for the order to end. A signal that the settings have changed is logged only.
    pub(crate) async fn until_terminated(&mut self, hangup_message: &str) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hangup.recv() => log::info!("{hangup_message}"),
            }
        }
    }
}
