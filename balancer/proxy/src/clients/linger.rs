//! A lingering close: whoever closes a socket over bytes that it has not read resets the connection, and the client's
//! system may then throw away the last response before the client has read it. So after a last response only the side that
//! writes is shut, and what the client still sends is read and thrown away for a little while. Owns no state.
use super::phase::{wait_for_closed, Phase};
use super::stream::ClientStream;
use std::future::poll_fn;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Whether connections linger at all.
const ENABLED: bool = true;
/// Longest time that a connection lingers.
const MAX_LINGER: Duration = Duration::from_millis(500);
/// Maximum of bytes discarded while it lingers.
const MAX_DISCARDED_BYTES: usize = 64 << 10;

/// Closes a connection whose last response was written. Nothing that comes from now on is taken as a request.
pub(super) async fn linger(stream: &ClientStream, phase: &mut watch::Receiver<Phase>) {
    if !ENABLED || stream.is_disconnected() || stream.shut_write().is_err() {
        return;
    }
    tokio::select! {
        biased;
        () = wait_for_closed(phase) => {}
        () = discard(stream) => {}
        () = sleep(MAX_LINGER) => {}
    }
}

/// Reads until the client has closed its side, or has sent too much.
async fn discard(stream: &ClientStream) {
    let mut left = MAX_DISCARDED_BYTES;
    while left > 0 {
        match poll_fn(|cx| stream.poll_discard(cx)).await {
            0 => return,
            length => left = left.saturating_sub(length),
        }
    }
}
