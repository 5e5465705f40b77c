//! Loopback servers shared by the tests of calls.
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// A timeout longer than any successful call in these tests.
pub(crate) const LONG_TIMEOUT: Duration = Duration::from_secs(20);
/// A duplicate call would arrive within this time.
const RESEND_WINDOW: Duration = Duration::from_millis(150);

/// Listens on a free loopback port.
pub(crate) async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Reads one request that ends with `body`.
pub(crate) async fn read_request(stream: &mut TcpStream, body: &[u8]) {
    let end = [b"\r\n\r\n", body].concat();
    let mut read = Vec::new();
    while !read.ends_with(&end) {
        let mut buffer = [0; 1024];
        let length = stream.read(&mut buffer).await.expect("a request");
        assert!(length > 0, "the connection ended");
        read.extend_from_slice(&buffer[..length]);
    }
}

/// Closes a connection with a TCP reset, by a linger time of zero.
pub(crate) fn reset(stream: TcpStream) {
    socket2::SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .expect("the socket accepts the linger option");
    drop(stream);
}

/// Whether no further connection arrives within [`RESEND_WINDOW`].
pub(crate) async fn has_no_second_connection(listener: &TcpListener) -> bool {
    timeout(RESEND_WINDOW, listener.accept()).await.is_err()
}
