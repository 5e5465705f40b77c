//! An upstream whose connections the test itself reads and writes, in the order that it wants.
use super::{read, Message, TEST_TIMEOUT};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A listener that accepts when it is told to.
pub(crate) struct RawUpstream {
    listener: TcpListener,
    pub addr: SocketAddr,
}

impl RawUpstream {
    pub(crate) fn start() -> RawUpstream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        listener.set_nonblocking(true).expect("does not block");
        let addr = listener.local_addr().expect("an address");
        RawUpstream { listener, addr }
    }

    /// The next connection.
    pub(crate) fn accept(&self) -> RawConnection {
        RawUpstream::accept_any(std::slice::from_ref(self)).0
    }

    /// The next connection to any of several, and to which.
    pub(crate) fn accept_any(upstreams: &[RawUpstream]) -> (RawConnection, usize) {
        let began = Instant::now();
        loop {
            for (at, upstream) in upstreams.iter().enumerate() {
                if let Ok((stream, _)) = upstream.listener.accept() {
                    return (RawConnection::new(stream), at);
                }
            }
            assert!(began.elapsed() < TEST_TIMEOUT, "no connection comes");
            std::thread::yield_now();
        }
    }
}

/// An upstream's end of a connection.
pub(crate) struct RawConnection(BufReader<TcpStream>);

impl RawConnection {
    fn new(stream: TcpStream) -> RawConnection {
        stream.set_nonblocking(false).expect("blocks");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        stream.set_nodelay(true).expect("writes at once");
        RawConnection(BufReader::new(stream))
    }

    /// The next request; `None` at the end of the connection.
    pub(crate) fn request(&mut self) -> Option<Message> {
        read(&mut self.0)
    }

    /// Whether something lies there to be read, or the end.
    pub(crate) fn has_input(&self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).expect("does not block");
        let has = stream.peek(&mut [0]).is_ok();
        stream.set_nonblocking(false).expect("blocks");
        has
    }

    pub(crate) fn write(&mut self, text: &str) {
        // A connection that was closed shows in what the balancer answers.
        self.try_write(text);
    }

    /// The same; whether the connection still takes it.
    pub(crate) fn try_write(&mut self, text: &str) -> bool {
        self.0.get_mut().write_all(text.as_bytes()).is_ok()
    }

    pub(crate) fn answer(&mut self, body: &str) {
        self.write(&format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }

    /// Ends the connection with a reset, once the other side has taken what was written.
    pub(crate) fn reset(self) {
        let socket = socket2::SockRef::from(self.0.get_ref());
        socket
            .set_linger(Some(Duration::ZERO))
            .expect("lingers not");
    }

    /// Waits until the other side has ended the connection, and returns what came until then.
    pub(crate) fn ended(mut self) -> Vec<u8> {
        let mut got = Vec::new();
        if let Err(e) = self.0.read_to_end(&mut got) {
            assert_eq!(
                e.kind(),
                std::io::ErrorKind::ConnectionReset,
                "it does not end"
            );
        }
        got
    }
}

/// Whether the end that the socket of this local port sent has been acknowledged: it waits for the other side's
/// (`FIN_WAIT2`) or is past that (`TIME_WAIT`).
pub(crate) fn end_has_arrived(port: u16) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    let local = format!("0100007F:{port:04X}");
    table.lines().any(|line| {
        let mut fields = line.split_whitespace().skip(1);
        fields.next() == Some(&local) && matches!(fields.nth(1), Some("05" | "06"))
    })
}
