//! The shutdown phase as client connections see it. Owns no state.
use tokio::sync::watch;

/// The shutdown phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Requests are served and the readiness check succeeds.
    Serving,
    /// Shutting down: new requests are still served, but the readiness check fails. Clients keep using their
    /// connections and may not know another balancer yet, so connections stay open for as long as all requests can be
    /// answered.
    Draining,
    /// No new connections are accepted, and idle connections are closed.
    Closing,
    /// No further request will be answered: lingering connections are dropped.
    Closed,
}

/// Waits until client connections should close.
pub(super) async fn wait_for_closing(phase: &mut watch::Receiver<Phase>) {
    // An error means that the sender was dropped: the program is ending.
    let _ = phase.wait_for(|p| *p >= Phase::Closing).await;
}

/// Waits until connections must stop lingering.
pub(super) async fn wait_for_closed(phase: &mut watch::Receiver<Phase>) {
    let _ = phase.wait_for(|p| *p == Phase::Closed).await;
}
