//! The graceful shutdown, from the signal to the last response. Owns no state: what comes when follows from the time of
//! the signal and from the longest deadline.
use crate::clients::Phase;
use crate::driver::Handle;
use balancer_core::Millis;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout_at, Instant};

/// New connections go on coming for this long after SIGTERM, with some margin.
const MIN_ACCEPTING: Duration = Duration::from_millis(500);
/// SIGKILL comes 0.7 s after the longest deadline at the soonest, counted from SIGTERM, and where that deadline is
/// longer than this, it is taken as this.
const MAX_DEADLINE: Millis = 3000.0;
/// All is answered this long after the longest deadline, with some margin before SIGKILL.
const RESPONSE_TIME: Duration = Duration::from_millis(500);
/// Nothing is accepted any more for this long before all must be answered.
const CLOSING_TIME: Duration = Duration::from_millis(800);
/// Time for the last responses to be written.
const WRITE_TIME: Duration = Duration::from_millis(100);

/// Ends `server`, the clients' side: all that is open or still comes is answered, and then clients are closed.
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
    // Guards against a machine that was stalled meanwhile: what came is read and answered even then.
    let closed_by = answered_by.max(Instant::now());
    if timeout_at(closed_by, &mut server).await.is_ok() {
        return;
    }
    phase.send_replace(Phase::Closed);
    if timeout_at(closed_by + WRITE_TIME, server).await.is_err() {
        let open = handle.unanswered();
        let said = "callers are still connected at the end";
        tracing::warn!(target: "run", event = "ended_unanswered", open, "{name}: {said}, {open} requests unanswered");
    }
}
