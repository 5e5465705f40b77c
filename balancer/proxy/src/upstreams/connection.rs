//! One connection to an upstream: dialled, and closed when dropped.
use super::request_write::{CheckedStream, RequestWrite};
use crate::message::MAX_BODY_LEN;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::AbortHandle;

/// One open connection; closed when dropped.
pub(super) struct Connection {
    /// Where requests are handed to it.
    pub sender: http1::SendRequest<Full<Bytes>>,
    /// How far the request that it carries is written.
    pub write: Rc<RequestWrite>,
    task: AbortHandle,
    _permit: OwnedSemaphorePermit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects to `address`; `None` if that fails.
    pub(super) async fn dial(
        address: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) -> Option<Connection> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let write = RequestWrite::new();
        let stream = TokioIo::new(CheckedStream::new(stream, write.clone()));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BODY_LEN)
            .handshake(stream)
            .await
            .ok()?;
        let task = tokio::task::spawn_local(async move {
            // How the connection ended shows in the attempt that was on it.
            let _ = connection.await;
        });
        Some(Connection {
            sender,
            write,
            task: task.abort_handle(),
            _permit: permit,
        })
    }
}
