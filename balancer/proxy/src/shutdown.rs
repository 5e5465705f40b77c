//! The graceful shutdown, from the signal to the last response. Owns no state: the schedule follows from the time of
//! the signal and the longest deadline.
use crate::clients::Phase;
use crate::driver::Handle;
use balancer_core::Millis;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout_at, Instant};

/// Minimum time after SIGTERM during which new connections are accepted. Includes a margin over the time in which
/// clients may still connect.
const MIN_ACCEPTING: Duration = Duration::from_millis(500);
/// Upper bound of the longest deadline in the shutdown schedule, in milliseconds. SIGKILL follows SIGTERM no earlier
/// than 0.7 s after the longest deadline, bounded by this value.
const MAX_DEADLINE: Millis = 3000.0;
/// Time from the longest deadline until all requests are answered; leaves a margin before SIGKILL.
const RESPONSE_TIME: Duration = Duration::from_millis(500);
/// Time before the last response during which no new connections are accepted.
const CLOSING_TIME: Duration = Duration::from_millis(800);
/// Time for the last responses to be written.
const WRITE_TIME: Duration = Duration::from_millis(100);

/// Shuts down `server`: answers all open and new requests, then closes the client connections.
pub(crate) async fn shut_down(
    name: &str,
    handle: &Handle,
    phase: &watch::Sender<Phase>,
    longest_deadline: Millis,
    mut server: JoinHandle<()>,
) {
    let signalled = Instant::now();
    let longest_deadline = longest_deadline.min(MAX_DEADLINE);
    let answered_by =
        signalled + Duration::from_secs_f64(longest_deadline / 1000.0) + RESPONSE_TIME;
    phase.send_replace(Phase::Draining);
    handle.shut_down_by(answered_by);
    sleep_until((answered_by - CLOSING_TIME).max(signalled + MIN_ACCEPTING)).await;
    phase.send_replace(Phase::Closing);
    // After a stall of the machine, input that has arrived is still read and answered.
    let closed_by = answered_by.max(Instant::now());
    if timeout_at(closed_by, &mut server).await.is_ok() {
        return;
    }
    phase.send_replace(Phase::Closed);
    if timeout_at(closed_by + WRITE_TIME, server).await.is_err() {
        let open = handle.unanswered();
        let reason = "clients are still connected at the shutdown deadline";
        tracing::warn!(target: "run", event = "ended_unanswered", open, "{name}: {reason}, {open} requests unanswered");
    }
}
