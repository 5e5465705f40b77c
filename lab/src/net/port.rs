//! Listening addresses that accept connections, refuse them or let them hang.
use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// How a port treats new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortMode {
    /// Accepts them.
    Open,
    /// Refuses them, like a machine without a listener.
    Refusing,
    /// Lets them hang, like a network that drops packets.
    Unresponsive,
}

/// Listens on an address.
pub fn listener(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// A listening address whose mode follows a watch.
pub struct Port {
    at: SocketAddr,
    listener: Option<TcpListener>,
    /// Connections from the port to itself that fill the accept queue, so that other connections hang.
    fillers: Vec<Socket>,
    mode: watch::Receiver<PortMode>,
}

impl Port {
    /// Returns a port in the current mode of the watch.
    pub fn bind(at: SocketAddr, mode: watch::Receiver<PortMode>) -> io::Result<Port> {
        let mut port = Port {
            at,
            listener: None,
            fillers: Vec::new(),
            mode,
        };
        let now = *port.mode.borrow_and_update();
        port.enter_mode(now)?;
        Ok(port)
    }

    fn enter_mode(&mut self, mode: PortMode) -> io::Result<()> {
        if mode == PortMode::Refusing {
            self.listener = None;
            self.fillers.clear();
            return Ok(());
        }
        if self.listener.is_none() {
            self.listener = Some(listener(self.at)?);
        }
        let Some(listener) = &self.listener else {
            return Ok(());
        };
        match mode {
            PortMode::Unresponsive if self.fillers.is_empty() => {
                // The accept queue holds one connection more than its length; the kernel drops further SYN packets.
                SockRef::from(listener).listen(0)?;
                for _ in 0..2 {
                    let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
                    filler.set_nonblocking(true)?;
                    // A connection in progress is sufficient.
                    let _ = filler.connect(&self.at.into());
                    self.fillers.push(filler);
                }
            }
            PortMode::Open if !self.fillers.is_empty() => {
                SockRef::from(listener).listen(BACKLOG)?
            }
            _ => {}
        }
        Ok(())
    }

    /// Accepts the next connection; returns `None` once the sender of the mode is dropped.
    pub async fn accept(&mut self) -> io::Result<Option<TcpStream>> {
        loop {
            let now = *self.mode.borrow_and_update();
            self.enter_mode(now)?;
            let waits = async {
                match (&self.listener, now) {
                    (Some(listener), PortMode::Open) => listener.accept().await,
                    _ => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                changed = self.mode.changed() => {
                    if changed.is_err() {
                        return Ok(None);
                    }
                }
                accepted = waits => {
                    let (stream, from) = accepted?;
                    if self.is_filler(from) {
                        continue;
                    }
                    self.fillers.clear();
                    stream.set_nodelay(true)?;
                    return Ok(Some(stream));
                }
            }
        }
    }

    fn is_filler(&self, from: SocketAddr) -> bool {
        let own = |filler: &Socket| filler.local_addr().ok().and_then(|a| a.as_socket());
        self.fillers.iter().any(|filler| own(filler) == Some(from))
    }
}
