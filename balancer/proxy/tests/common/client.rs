//! A client of the balancer with blocking reads and writes.
use super::{raw, read, Message, TEST_TIMEOUT};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Instant;

pub(crate) struct Client(BufReader<TcpStream>);

impl Client {
    /// Returns `None` when the connection is refused.
    pub(crate) fn connect(addr: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(addr).ok()?;
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("set timeout");
        Some(Client(BufReader::new(stream)))
    }

    pub(crate) fn send(&mut self, text: &str) {
        // A closed connection shows when the response is read.
        let _ = self.0.get_mut().write_all(text.as_bytes());
    }

    /// Reads the next response; `None` when the connection was closed.
    pub(crate) fn read_response(&mut self) -> Option<Message> {
        read(&mut self.0)
    }

    /// Closes the connection and waits until the balancer's side of the connection has received the FIN.
    pub(crate) fn disconnect(self) {
        let port = self
            .0
            .get_ref()
            .local_addr()
            .expect("socket address")
            .port();
        drop(self);
        let began = Instant::now();
        while !raw::fin_is_acknowledged(port) {
            assert!(
                began.elapsed() < TEST_TIMEOUT,
                "the FIN was not acknowledged"
            );
            thread::yield_now();
        }
    }

    /// Waits until the balancer closes the connection without a response.
    pub(crate) fn wait_until_closed(&mut self) {
        match self.0.read(&mut [0]) {
            Ok(0) => {}
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => {}
            other => panic!("connection not closed: {other:?}"),
        }
    }

    pub(crate) fn call(&mut self, text: &str) -> Message {
        self.send(text);
        self.read_response().expect("a response")
    }
}
