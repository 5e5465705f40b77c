//! The signals that the program acts on.
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals, from the moment that they no longer end the process by themselves.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Takes the signals over from the system.
    pub(crate) fn listen() -> Result<Signals, String> {
        let listen = |kind| signal(kind).map_err(|e| e.to_string());
        let terminate = listen(SignalKind::terminate())?;
        let interrupt = listen(SignalKind::interrupt())?;
        let hang_up = listen(SignalKind::hangup())?;
        Ok(Signals {
            terminate,
            interrupt,
            hang_up,
        })
    }

    /// The signals to end, and those to read everything again.
    pub(crate) fn split(self) -> (EndSignals, Signal) {
        (
            EndSignals {
                terminate: self.terminate,
                interrupt: self.interrupt,
            },
            self.hang_up,
        )
    }
}

/// SIGTERM and SIGINT.
pub(crate) struct EndSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl EndSignals {
    /// Waits until the program is told to end.
    pub(crate) async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
