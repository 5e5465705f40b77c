//! TCP connections on a link.
use super::link::{Direction, Link};
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection on a link: it does not read or write while the link is cut in that direction, and it is closed with
/// RST after the link was reset.
pub struct LinkedStream {
    stream: TcpStream,
    link: Arc<Link>,
    resets: u64,
}

impl LinkedStream {
    /// Attaches a connection to a link.
    pub fn new(stream: TcpStream, link: Arc<Link>) -> LinkedStream {
        let resets = *link.resets.borrow();
        LinkedStream {
            stream,
            link,
            resets,
        }
    }
}

impl Drop for LinkedStream {
    fn drop(&mut self) {
        if *self.link.resets.borrow() != self.resets {
            // If this fails, the connection is closed with FIN.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for LinkedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.link.blocked(Direction::Inward, cx) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for LinkedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.link.blocked(Direction::Outward, cx) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.link.blocked(Direction::Outward, cx) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Connects to a balancer on a link; waits while the link is cut.
pub async fn connect(to: SocketAddr, link: &Arc<Link>) -> io::Result<LinkedStream> {
    let mut changes = link.changes();
    while link.is_unresponsive() {
        if changes.changed().await.is_err() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
    }
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(LinkedStream::new(stream, link.clone()))
}
