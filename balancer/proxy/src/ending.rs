//! The end of the program, from the word to end to the last answer. Holds no state: what comes when follows from the
//! time of that word and from the longest deadline.
use crate::clients::Phase;
use crate::driver::Handle;
use balancer_core::Millis;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout_at, Instant};

/// New connections go on coming for this long after SIGTERM, with some slots.
const STILL_ACCEPTING: Duration = Duration::from_millis(500);
/// SIGKILL comes 0.7 s after the longest deadline at the soonest, counted from SIGTERM, and where that deadline is
/// longer than this, it is taken as this. All is answered by then, with some slots.
const DEADLINE_MOST: Millis = 3000.0;
const ANSWERED: Duration = Duration::from_millis(500);
/// Nothing is taken any more for this long before all must be answered.
const LAST_ANSWERS: Duration = Duration::from_millis(800);
/// Time for the last answers to be written.
const WRITTEN: Duration = Duration::from_millis(100);

/// Ends `served`, the clients' side: all that is open or still comes is answered, and then clients are closed.
pub(crate) async fn end(
    name: &str,
    handle: &Handle,
    phase: &watch::Sender<Phase>,
    longest: Millis,
    mut served: JoinHandle<()>,
) {
    let told = Instant::now();
    let answered = told + Duration::from_secs_f64(longest.min(DEADLINE_MOST) / 1000.0) + ANSWERED;
    phase.send_replace(Phase::Leaving);
    handle.end_by(answered);
    sleep_until((answered - LAST_ANSWERS).max(told + STILL_ACCEPTING)).await;
    phase.send_replace(Phase::Closing);
    // Guards against a machine that stood still meanwhile: what came is read and answered even then.
    let over = answered.max(Instant::now());
    if timeout_at(over, &mut served).await.is_ok() {
        return;
    }
    phase.send_replace(Phase::Over);
    if timeout_at(over + WRITTEN, served).await.is_err() {
        let open = handle.open();
        let said = "callers are still connected at the end";
        tracing::warn!(target: "run", event = "ended_unanswered", open, "{name}: {said}, {open} requests unanswered");
    }
}
