//! Servers on loopback sockets that the tests of calls share.
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Longer than any call in these tests takes.
pub(crate) const LONG: Duration = Duration::from_secs(20);
/// A call that is sent once more would come within this time.
const RESEND_WINDOW: Duration = Duration::from_millis(150);

/// Listens on a free port.
pub(crate) async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Reads one request: its end is that of its body.
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

/// Resets a connection.
pub(crate) fn reset(stream: TcpStream) {
    socket2::SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .expect("an option of sockets");
    drop(stream);
}

/// Whether no further connection comes.
pub(crate) async fn has_no_second_connection(listener: &TcpListener) -> bool {
    timeout(RESEND_WINDOW, listener.accept()).await.is_err()
}
