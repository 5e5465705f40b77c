//! One connection to an upstream: dialled, and closed when dropped.
use crate::message::BODY_MOST;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::AbortHandle;

/// One open connection; closed when dropped.
pub struct Connection {
    /// Where requests are handed to it.
    pub sender: http1::SendRequest<Full<Bytes>>,
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
    pub async fn dial(address: SocketAddr, permit: OwnedSemaphorePermit) -> Option<Connection> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) =
            http1::Builder::new().max_buf_size(BODY_MOST).handshake(TokioIo::new(stream)).await.ok()?;
        let task = tokio::task::spawn_local(async move {
            // How the connection ended shows in the attempt that was on it.
            let _ = connection.await;
        });
        Some(Connection { sender, task: task.abort_handle(), _permit: permit })
    }
}
