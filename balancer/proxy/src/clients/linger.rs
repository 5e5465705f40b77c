//! A lingering close. Closing a socket with unread input resets the connection, and the client's kernel may then
//! discard the last response before the client has read it. After a last response, only the write side is shut down,
//! and input is read and discarded for a short time. Owns no state.
use super::phase::{wait_for_closed, Phase};
use super::stream::ClientStream;
use std::future::poll_fn;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Whether lingering is enabled.
const ENABLED: bool = true;
/// Maximum time that a connection lingers.
const MAX_LINGER: Duration = Duration::from_millis(500);
/// Maximum number of bytes discarded while a connection lingers.
const MAX_DISCARDED_BYTES: usize = 64 << 10;

/// Closes a connection after its last response. Later input is not treated as a request.
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

/// Reads until the client has closed its side or has sent [`MAX_DISCARDED_BYTES`].
async fn discard(stream: &ClientStream) {
    let mut left = MAX_DISCARDED_BYTES;
    while left > 0 {
        match poll_fn(|cx| stream.poll_discard(cx)).await {
            0 => return,
            length => left = left.saturating_sub(length),
        }
    }
}
