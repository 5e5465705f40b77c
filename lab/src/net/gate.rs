//! Connections on a way.
use super::way::{Direction, Way};
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection on a way: it neither reads nor writes while that is cut, and is reset where the way was.
pub struct Gate {
    stream: TcpStream,
    way: Arc<Way>,
    resets: u64,
}

impl Gate {
    /// Puts a connection on a way.
    pub fn new(stream: TcpStream, way: Arc<Way>) -> Gate {
        let resets = *way.resets.borrow();
        Gate { stream, way, resets }
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        if *self.way.resets.borrow() != self.resets {
            // What fails here leaves an ordinary close.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for Gate {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        if self.way.blocked(Direction::Inward, cx) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Gate {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.way.blocked(Direction::Outward, cx) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        if self.way.blocked(Direction::Outward, cx) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Connects to a balancer on a way. While it is silent nothing comes up.
pub async fn connect(to: SocketAddr, way: &Arc<Way>) -> io::Result<Gate> {
    let mut changes = way.changes();
    while way.is_silent() {
        if changes.changed().await.is_err() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
    }
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(Gate::new(stream, way.clone()))
}
