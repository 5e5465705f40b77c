//! A connection to an upstream.
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

/// An open connection; closed when dropped.
pub(super) struct Connection {
    /// Sends requests on the connection.
    pub sender: http1::SendRequest<Full<Bytes>>,
    /// The progress of writing the current request.
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
            // The attempt on this connection reports the error.
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
