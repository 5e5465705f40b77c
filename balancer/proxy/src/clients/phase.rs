//! How far the end of the program has come, as clients' connections see it. Owns no state.
use tokio::sync::watch;

/// How far the end of the program has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Serving.
    Serving,
    /// Shutting down: what comes is still served, but the balancer is not ready any more for those who check that.
    /// Clients go on using the connections they have, and may have nobody else to turn to yet, so these stay
    /// open for as long as all can be answered.
    Draining,
    /// Nothing new is accepted, and connections between requests are closed.
    Closing,
    /// All is answered, or will not be any more: connections that only linger are dropped.
    Closed,
}

/// Waits until clients' connections are to be closed.
pub(super) async fn wait_for_closing(phase: &mut watch::Receiver<Phase>) {
    // The sender was dropped: all is over.
    let _ = phase.wait_for(|p| *p >= Phase::Closing).await;
}

/// Waits until nothing may linger any more.
pub(super) async fn wait_for_closed(phase: &mut watch::Receiver<Phase>) {
    let _ = phase.wait_for(|p| *p == Phase::Closed).await;
}
