//! An upstream whose connections the test itself accepts, reads and writes.
use super::{read, Message, TEST_TIMEOUT};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A listener that accepts only when the test says so.
pub(crate) struct RawUpstream {
    listener: TcpListener,
    pub addr: SocketAddr,
}

impl RawUpstream {
    pub(crate) fn start() -> RawUpstream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        listener.set_nonblocking(true).expect("set nonblocking");
        let addr = listener.local_addr().expect("socket address");
        RawUpstream { listener, addr }
    }

    /// Waits for the next connection.
    pub(crate) fn accept(&self) -> RawConnection {
        RawUpstream::accept_any(std::slice::from_ref(self)).0
    }

    /// Waits for the next connection to any of these upstreams; returns it with the index of the upstream.
    pub(crate) fn accept_any(upstreams: &[RawUpstream]) -> (RawConnection, usize) {
        let began = Instant::now();
        loop {
            for (index, upstream) in upstreams.iter().enumerate() {
                if let Ok((stream, _)) = upstream.listener.accept() {
                    return (RawConnection::new(stream), index);
                }
            }
            assert!(began.elapsed() < TEST_TIMEOUT, "no connection arrived");
            std::thread::yield_now();
        }
    }
}

/// The upstream's end of a connection.
pub(crate) struct RawConnection(BufReader<TcpStream>);

impl RawConnection {
    fn new(stream: TcpStream) -> RawConnection {
        stream.set_nonblocking(false).expect("set blocking");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("set timeout");
        stream.set_nodelay(true).expect("set nodelay");
        RawConnection(BufReader::new(stream))
    }

    /// Reads the next request; `None` when the connection was closed.
    pub(crate) fn request(&mut self) -> Option<Message> {
        read(&mut self.0)
    }

    /// Whether bytes or a FIN are waiting to be read.
    pub(crate) fn has_input(&self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).expect("set nonblocking");
        let has_input = stream.peek(&mut [0]).is_ok();
        stream.set_nonblocking(false).expect("set blocking");
        has_input
    }

    pub(crate) fn write(&mut self, text: &str) {
        // A closed connection shows in the response of the balancer.
        self.try_write(text);
    }

    /// As [`RawConnection::write`]; returns whether the connection accepted the bytes.
    pub(crate) fn try_write(&mut self, text: &str) -> bool {
        self.0.get_mut().write_all(text.as_bytes()).is_ok()
    }

    pub(crate) fn respond(&mut self, body: &str) {
        self.write(&format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }

    /// Closes the connection with a reset, once the other side has taken what was written.
    pub(crate) fn reset(self) {
        let socket = socket2::SockRef::from(self.0.get_ref());
        socket.set_linger(Some(Duration::ZERO)).expect("set linger");
    }

    /// Reads until the other side closes the connection, and returns what was read.
    pub(crate) fn read_until_closed(mut self) -> Vec<u8> {
        let mut got = Vec::new();
        if let Err(e) = self.0.read_to_end(&mut got) {
            assert_eq!(
                e.kind(),
                std::io::ErrorKind::ConnectionReset,
                "the connection was not closed"
            );
        }
        got
    }
}

/// Whether the FIN sent by the socket with this local port has been acknowledged: the socket waits for the FIN of the
/// other side (`FIN_WAIT2`) or is past that (`TIME_WAIT`).
pub(crate) fn fin_is_acknowledged(port: u16) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("read /proc/net/tcp");
    let local = format!("0100007F:{port:04X}");
    table.lines().any(|line| {
        let mut fields = line.split_whitespace().skip(1);
        fields.next() == Some(&local) && matches!(fields.nth(1), Some("05" | "06"))
    })
}
