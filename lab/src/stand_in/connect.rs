//! Connections of a stand-in to upstreams and to discovery.
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Sends requests on a connection.
pub(super) type Sender = http1::SendRequest<Full<Bytes>>;

/// Opens a connection for requests.
pub(super) async fn connect(to: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(to).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // Errors surface in the request on the connection.
        let _ = connection.await;
    });
    Some(sender)
}
