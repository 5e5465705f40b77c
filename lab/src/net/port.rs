//! Listening addresses that accept, refuse or stay silent.
use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// What a port does with new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Takes them.
    Open,
    /// Refuses them, as a machine does on which nobody listens.
    Refusing,
    /// Lets them hang, as a network does that drops packets.
    Unresponsive,
}

/// Listens at an address.
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
    /// Own connections that fill the queue of those to be accepted, so that further ones hang.
    fillers: Vec<Socket>,
    mode: watch::Receiver<Manner>,
}

impl Port {
    /// Listens, or does not, as `mode` demands now.
    pub fn bind(at: SocketAddr, mode: watch::Receiver<Manner>) -> io::Result<Port> {
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

    fn enter_mode(&mut self, mode: Manner) -> io::Result<()> {
        if mode == Manner::Refusing {
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
            Manner::Unresponsive if self.fillers.is_empty() => {
                // The queue takes one more than its stated length; what comes after that is dropped unanswered.
                SockRef::from(listener).listen(0)?;
                for _ in 0..2 {
                    let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
                    filler.set_nonblocking(true)?;
                    // It is enough that it is in progress.
                    let _ = filler.connect(&self.at.into());
                    self.fillers.push(filler);
                }
            }
            Manner::Open if !self.fillers.is_empty() => SockRef::from(listener).listen(BACKLOG)?,
            _ => {}
        }
        Ok(())
    }

    /// The next connection. It ends when the watch's other side is gone.
    pub async fn accept(&mut self) -> io::Result<Option<TcpStream>> {
        loop {
            let now = *self.mode.borrow_and_update();
            self.enter_mode(now)?;
            let waits = async {
                match (&self.listener, now) {
                    (Some(listener), Manner::Open) => listener.accept().await,
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
