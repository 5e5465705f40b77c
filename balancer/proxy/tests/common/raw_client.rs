//! A client with direct control of its socket: resets, half-closes, partial writes and floods.
#![allow(dead_code)]
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// Receive buffer of a client that accepts little unread data.
const SMALL_RECV_BUFFER_BYTES: usize = 4 << 10;

pub(crate) struct RawClient(TcpStream);

impl RawClient {
    /// Reads and writes time out after `client_timeout`.
    pub(crate) fn connect(addr: SocketAddr, client_timeout: Duration) -> RawClient {
        let stream = TcpStream::connect(addr).expect("connect");
        stream.set_nodelay(true).expect("set nodelay");
        stream
            .set_read_timeout(Some(client_timeout))
            .expect("set timeout");
        stream
            .set_write_timeout(Some(client_timeout))
            .expect("set timeout");
        RawClient(stream)
    }

    /// As [`RawClient::connect`], with a small receive buffer: unread data beyond it stays queued at the sender.
    pub(crate) fn connect_with_small_buffer(
        addr: SocketAddr,
        client_timeout: Duration,
    ) -> RawClient {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create socket");
        socket
            .set_recv_buffer_size(SMALL_RECV_BUFFER_BYTES)
            .expect("set receive buffer size");
        socket.connect(&addr.into()).expect("connect");
        let stream = TcpStream::from(socket);
        stream
            .set_read_timeout(Some(client_timeout))
            .expect("set timeout");
        stream
            .set_write_timeout(Some(client_timeout))
            .expect("set timeout");
        RawClient(stream)
    }

    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("send");
    }

    /// Sends `bytes` up to `times` times, until a write fails. Returns the number of bytes sent.
    pub(crate) fn flood(&mut self, bytes: &[u8], times: usize) -> usize {
        (0..times)
            .take_while(|_| self.0.write_all(bytes).is_ok())
            .count()
            * bytes.len()
    }

    pub(crate) fn port(&self) -> u16 {
        self.0.local_addr().expect("socket address").port()
    }

    /// Whether this is the client's end of its connection. The local port alone is not enough: the kernel reuses it
    /// for connections with other peers, and lists those for a minute after they were closed.
    pub(crate) fn is_own_end(&self, socket: &KernelSocket) -> bool {
        let remote = self.0.peer_addr().expect("a connected client").port();
        socket.local == self.port() && socket.remote == remote
    }

    /// Shuts down the write side and keeps reading.
    pub(crate) fn half_close(&self) {
        self.0.shutdown(Shutdown::Write).expect("shut down");
    }

    /// Resets the connection.
    pub(crate) fn reset(self) {
        SockRef::from(&self.0)
            .set_linger(Some(Duration::ZERO))
            .expect("set linger");
    }

    /// Reads until the connection ends. Returns the bytes, and whether it ended with a FIN rather than an error.
    pub(crate) fn read_to_end(&mut self) -> (Vec<u8>, bool) {
        let mut bytes = Vec::new();
        let result = self.0.read_to_end(&mut bytes);
        (bytes, result.is_ok())
    }

    /// A buffered reader on the same socket.
    pub(crate) fn reader(&self) -> BufReader<TcpStream> {
        BufReader::new(self.0.try_clone().expect("clone the socket"))
    }
}

/// One end of a TCP connection as the kernel lists it.
pub(crate) struct KernelSocket {
    pub local: u16,
    pub remote: u16,
    /// The state, as numbered in `/proc/net/tcp`.
    pub state: u8,
    pub unread: u64,
}

/// The other side has closed its end of the connection and this side has not.
pub(crate) const CLOSE_WAIT: u8 = 8;

/// All IPv4 TCP sockets, at both ends of each connection.
pub(crate) fn kernel_sockets() -> Vec<KernelSocket> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("read /proc/net/tcp");
    table.lines().skip(1).filter_map(parse_socket).collect()
}

fn parse_socket(line: &str) -> Option<KernelSocket> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let port = |field: &str| u16::from_str_radix(field.split_once(':')?.1, 16).ok();
    Some(KernelSocket {
        local: port(fields.get(1)?)?,
        remote: port(fields.get(2)?)?,
        state: u8::from_str_radix(fields.get(3)?, 16).ok()?,
        unread: u64::from_str_radix(fields.get(4)?.split_once(':')?.1, 16).ok()?,
    })
}

/// Waits until `condition` holds for the sockets that the kernel lists.
pub(crate) fn wait_for_sockets(
    client_timeout: Duration,
    condition: impl Fn(&[KernelSocket]) -> bool,
    failure: &str,
) {
    let started = std::time::Instant::now();
    while !condition(&kernel_sockets()) {
        assert!(started.elapsed() < client_timeout, "{failure}");
        std::thread::yield_now();
    }
}
