//! Handling of the Unix signals sent by the platform and by operators.
use crate::error::ProgramError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals that a process handles.
pub(crate) struct Signals {
    /// SIGTERM: shut down gracefully.
    pub terminate: Signal,
    /// SIGHUP: the settings file has changed.
    pub hangup: Signal,
}

impl Signals {
    /// Registers the signal handlers.
    ///
    /// # Errors
    /// When a handler can't be registered.
    pub(crate) fn listen() -> Result<Signals, ProgramError> {
        let open = |kind| {
            signal(kind).map_err(|source| ProgramError::System {
                context: "signals",
                source,
            })
        };
        Ok(Signals {
            terminate: open(SignalKind::terminate())?,
            hangup: open(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM. SIGHUP only logs `hangup_message`.
    pub(crate) async fn wait_for_termination(&mut self, hangup_message: &str) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hangup.recv() => log::info!("{hangup_message}"),
            }
        }
    }
}
