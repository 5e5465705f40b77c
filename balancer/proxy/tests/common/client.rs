//! A client of the balancer.
use super::{raw, read, Message, TEST_TIMEOUT};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Instant;

pub(crate) struct Client(BufReader<TcpStream>);

impl Client {
    /// `None`: nobody listens there.
    pub(crate) fn connect(addr: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(addr).ok()?;
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        Some(Client(BufReader::new(stream)))
    }

    pub(crate) fn send(&mut self, text: &str) {
        // A connection that was closed shows in the answer.
        let _ = self.0.get_mut().write_all(text.as_bytes());
    }

    /// The next answer; `None` when the connection ended.
    pub(crate) fn answer(&mut self) -> Option<Message> {
        read(&mut self.0)
    }

    /// Closes the connection and waits until the balancer's side of the system has its end.
    pub(crate) fn disconnect(self) {
        let port = self.0.get_ref().local_addr().expect("an address").port();
        drop(self);
        let began = Instant::now();
        while !raw::end_has_arrived(port) {
            assert!(began.elapsed() < TEST_TIMEOUT, "the end does not arrive");
            thread::yield_now();
        }
    }

    /// Waits until the balancer closes the connection, without an answer.
    pub(crate) fn closed(&mut self) {
        match self.0.read(&mut [0]) {
            Ok(0) => {}
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => {}
            other => panic!("not closed: {other:?}"),
        }
    }

    pub(crate) fn call(&mut self, text: &str) -> Message {
        self.send(text);
        self.answer().expect("an answer")
    }
}
