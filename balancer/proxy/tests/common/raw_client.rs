//! A client that does with its socket what others never do: resets it, shuts one side, sends pieces and whole floods.
#![allow(dead_code)]
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// The receive buffer of a client that takes little, in bytes.
const NARROW: usize = 4 << 10;

pub(crate) struct RawClient(TcpStream);

impl RawClient {
    /// Reads wait for this long at most.
    pub(crate) fn connect(addr: SocketAddr, client_timeout: Duration) -> RawClient {
        let stream = TcpStream::connect(addr).expect("connects");
        stream.set_nodelay(true).expect("sends at once");
        stream
            .set_read_timeout(Some(client_timeout))
            .expect("a time-out");
        stream
            .set_write_timeout(Some(client_timeout))
            .expect("a time-out");
        RawClient(stream)
    }

    /// The same, and its system takes little that it has not read: what comes beyond that stays at the other side.
    pub(crate) fn connect_narrow(addr: SocketAddr, client_timeout: Duration) -> RawClient {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(NARROW).expect("a small buffer");
        socket.connect(&addr.into()).expect("connects");
        let stream = TcpStream::from(socket);
        stream
            .set_read_timeout(Some(client_timeout))
            .expect("a time-out");
        stream
            .set_write_timeout(Some(client_timeout))
            .expect("a time-out");
        RawClient(stream)
    }

    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("sends");
    }

    /// Sends until the other side takes no more of it, or all is sent. Returns how much was.
    pub(crate) fn flood(&mut self, bytes: &[u8], times: usize) -> usize {
        (0..times)
            .take_while(|_| self.0.write_all(bytes).is_ok())
            .count()
            * bytes.len()
    }

    pub(crate) fn port(&self) -> u16 {
        self.0.local_addr().expect("an address").port()
    }

    /// Whether this is the client's end of its connection. Its port alone doesn't tell: the system gives the same one to
    /// connections with other peers, and still lists those for a minute after they were closed.
    pub(crate) fn is_own_end(&self, socket: &SystemSocket) -> bool {
        let remote = self.0.peer_addr().expect("a connected client").port();
        socket.local == self.port() && socket.remote == remote
    }

    /// Shuts the side it writes to, and stays.
    pub(crate) fn half_close(&self) {
        self.0.shutdown(Shutdown::Write).expect("shuts");
    }

    /// Resets the connection.
    pub(crate) fn reset(self) {
        SockRef::from(&self.0)
            .set_linger(Some(Duration::ZERO))
            .expect("lingers for no time");
    }

    /// All that comes until the connection ends, and whether it ended in order.
    pub(crate) fn rest(&mut self) -> (Vec<u8>, bool) {
        let mut bytes = Vec::new();
        let ended = self.0.read_to_end(&mut bytes);
        (bytes, ended.is_ok())
    }

    /// The same socket, to read answers from.
    pub(crate) fn reader(&self) -> BufReader<TcpStream> {
        BufReader::new(self.0.try_clone().expect("a second descriptor"))
    }
}

/// A connection as the system shows it at one end.
pub(crate) struct SystemSocket {
    pub local: u16,
    pub remote: u16,
    /// As in `/proc/net/tcp`.
    pub state: u8,
    pub unread: u64,
}

/// The other side has shut its end of the connection, and this side has not.
pub(crate) const CLOSE_WAIT: u8 = 8;

/// All connections over IPv4, at both ends.
pub(crate) fn system_sockets() -> Vec<SystemSocket> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    table.lines().skip(1).filter_map(parse_socket).collect()
}

fn parse_socket(line: &str) -> Option<SystemSocket> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let port = |field: &str| u16::from_str_radix(field.split_once(':')?.1, 16).ok();
    Some(SystemSocket {
        local: port(fields.get(1)?)?,
        remote: port(fields.get(2)?)?,
        state: u8::from_str_radix(fields.get(3)?, 16).ok()?,
        unread: u64::from_str_radix(fields.get(4)?.split_once(':')?.1, 16).ok()?,
    })
}

/// Waits until the system shows this.
pub(crate) fn wait_for_system(
    client_timeout: Duration,
    shown: impl Fn(&[SystemSocket]) -> bool,
    otherwise: &str,
) {
    let started = std::time::Instant::now();
    while !shown(&system_sockets()) {
        assert!(started.elapsed() < client_timeout, "{otherwise}");
        std::thread::yield_now();
    }
}
