//! Connections that clients keep to a balancer.
use crate::net::lock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use std::sync::Mutex;
use tokio::task::AbortHandle;

/// An open connection to a balancer; closed when dropped.
pub struct Conn {
    /// Sends the next request on it.
    pub sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Conn {
    /// One whose reading and writing is done by `task`.
    pub fn new(sender: http1::SendRequest<Full<Bytes>>, task: AbortHandle) -> Conn {
        Conn { sender, task }
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connections to one balancer that carry nothing now.
#[derive(Default)]
pub struct Pool(Mutex<Vec<Conn>>);

impl Pool {
    /// The connection used last that is still open.
    pub fn take(&self) -> Option<Conn> {
        let mut idle = lock(&self.0);
        while let Some(conn) = idle.pop() {
            if conn.sender.is_ready() {
                return Some(conn);
            }
        }
        None
    }

    /// Keeps one for the next call.
    pub fn keep(&self, conn: Conn) {
        lock(&self.0).push(conn);
    }

    /// Closes them all.
    pub fn clear(&self) {
        lock(&self.0).clear();
    }
}
