//! The signals that the program handles. Owns their streams.
use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals, from the moment that they no longer end the process by themselves.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// Says why the system does not let them be installed.
    pub(crate) fn listen() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Separates the signals to shut down from the signal to reload.
    pub(crate) fn split(self) -> (ShutdownSignals, Signal) {
        (
            ShutdownSignals {
                terminate: self.terminate,
                interrupt: self.interrupt,
            },
            self.hang_up,
        )
    }
}

/// SIGTERM and SIGINT.
pub(crate) struct ShutdownSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl ShutdownSignals {
    /// Waits for one of them.
    pub(crate) async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
