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
        // How it ended shows in the request that was on it.
        let _ = connection.await;
    });
    Some(sender)
}
