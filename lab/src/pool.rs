//! The pool of idle client connections to a balancer.
use crate::net::lock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use std::sync::Mutex;
use tokio::task::AbortHandle;

/// An open connection to a balancer; closed on drop.
pub struct ClientConnection {
    /// Sends the next request on it.
    pub sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl ClientConnection {
    /// Returns a connection whose I/O runs in `task`.
    pub fn new(sender: http1::SendRequest<Full<Bytes>>, task: AbortHandle) -> ClientConnection {
        ClientConnection { sender, task }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The idle connections to one balancer.
#[derive(Default)]
pub struct Pool(Mutex<Vec<ClientConnection>>);

impl Pool {
    /// Takes the most recently used connection that is still open.
    pub fn take(&self) -> Option<ClientConnection> {
        let mut idle = lock(&self.0);
        while let Some(conn) = idle.pop() {
            if conn.sender.is_ready() {
                return Some(conn);
            }
        }
        None
    }

    /// Returns a connection to the pool.
    pub fn put_back(&self, conn: ClientConnection) {
        lock(&self.0).push(conn);
    }

    /// Closes all connections.
    pub fn clear(&self) {
        lock(&self.0).clear();
    }
}
