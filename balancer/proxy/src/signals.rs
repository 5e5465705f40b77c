//! The signals that the program handles. Owns the signal streams.
use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The streams of all handled signals.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Installs the handlers, which replace the default action of ending the process.
    ///
    /// # Errors
    /// Fails if a handler cannot be installed.
    pub(crate) fn listen() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Separates the shutdown signals from the reload signal.
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
    /// Waits for either signal.
    pub(crate) async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
