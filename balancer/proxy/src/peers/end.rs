//! The socket: datagrams in, by who sent them, and out. Whatever goes wrong is counted and goes no further. Owns the
//! socket and when it was seen empty last.
use super::Addresses;
use crate::figures::Dropped;
use balancer_gossip::{Member, Millis, Transmit, MAX_DATAGRAM_LEN};
use std::cell::Cell;
use std::collections::HashMap;
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, UdpSocket};
use tokio::io::Interest;

/// A datagram that may have waited here for longer than this, since the program was stopped or held up, says nothing
/// that is of any use: its age could not be told.
const WAITED_MOST: Millis = 500.0;

/// This copy's end of the wire.
pub(super) struct End {
    socket: UdpSocket,
    /// The same socket, to wait on it alone: what the runtime believes of it may be older than what waits there.
    waits: tokio::net::UdpSocket,
    to: Vec<SocketAddr>,
    from: HashMap<SocketAddr, Member>,
    /// At this time nothing waited.
    empty_at: Cell<Millis>,
    dropped: Cell<Dropped>,
}

impl End {
    /// Listens.
    pub(super) fn bind(addresses: Addresses) -> Result<End> {
        let socket = UdpSocket::bind(addresses.listen)?;
        socket.set_nonblocking(true)?;
        let waits = tokio::net::UdpSocket::from_std(socket.try_clone()?)?;
        let (from, empty_at, dropped) = (addresses.senders(), Cell::new(0.0), Cell::default());
        Ok(End {
            socket,
            waits,
            to: addresses.peers,
            from,
            empty_at,
            dropped,
        })
    }

    /// Where it listens.
    pub(super) fn address(&self) -> Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Waits until something may have come. What comes from now on ends the next wait.
    pub(super) async fn readable(&self) {
        if self.waits.readable().await.is_err() {
            // The runtime is at its end.
            std::future::pending().await
        }
        let _ = self.waits.try_io(Interest::READABLE, || {
            Err::<(), _>(Error::from(ErrorKind::WouldBlock))
        });
    }

    /// Hands on up to `most` of the datagrams that wait. Returns whether more may.
    pub(super) fn take(
        &self,
        most: usize,
        now: impl Fn() -> Millis,
        mut on: impl FnMut(Millis, Member, &[u8]),
    ) -> bool {
        let mut bytes = [0; MAX_DATAGRAM_LEN + 1];
        for _ in 0..most {
            // The time goes before the read: whatever comes in between is taken for older than it is.
            let at = now();
            match self.socket.recv_from(&mut bytes) {
                Ok((length, from)) => match self.from.get(&from) {
                    None => self.count(|d| d.unknown += 1),
                    Some(_) if length > MAX_DATAGRAM_LEN => self.count(|d| d.long += 1),
                    Some(_) if at - self.empty_at.get() > WAITED_MOST => {
                        self.count(|d| d.waited += 1)
                    }
                    Some(&member) => on(at, member, &bytes[..length]),
                },
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.empty_at.set(at);
                    return false;
                }
                // Of a datagram that was sent earlier: it is as good as lost.
                Err(_) => {}
            }
        }
        true
    }

    /// Sends, if the system takes it at once.
    pub(super) fn send(&self, datagram: &Transmit) {
        let sent = match self.to.get(usize::from(datagram.to.0)) {
            Some(to) if datagram.bytes.len() <= MAX_DATAGRAM_LEN => {
                self.socket.send_to(&datagram.bytes, to).is_ok()
            }
            _ => false,
        };
        if !sent {
            self.count(|d| d.unsent += 1);
        }
    }

    /// What was dropped here.
    pub(super) fn dropped(&self) -> Dropped {
        self.dropped.get()
    }

    fn count(&self, change: impl FnOnce(&mut Dropped)) {
        let mut dropped = self.dropped.get();
        change(&mut dropped);
        self.dropped.set(dropped);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sender() -> (UdpSocket, SocketAddr) {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("binds");
        let address = socket.local_addr().expect("an address");
        (socket, address)
    }

    #[test]
    fn what_waits_is_taken_from_members_alone_and_only_if_its_age_is_known() {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let _inside = runtime.enter();
        let ((peer, peer_at), (stranger, _)) = (sender(), sender());
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let end = End::bind(Addresses {
            listen,
            peers: vec![listen, peer_at],
        })
        .expect("binds");
        let at = end.address().expect("an address");
        let taken = |most: usize, now: Millis| {
            let mut taken = Vec::new();
            let more = end.take(
                most,
                || now,
                |_, member, bytes| taken.push((member.0, bytes.to_vec())),
            );
            (taken, more)
        };
        let comes = |socket: &UdpSocket, bytes: &[u8]| {
            socket.send_to(bytes, at).expect("sends");
            while end.socket.peek_from(&mut [0]).is_err() {
                std::thread::yield_now();
            }
        };
        assert_eq!(taken(8, 100.0), (vec![], false));
        comes(&peer, b"one");
        assert_eq!(taken(1, 200.0), (vec![(1, b"one".to_vec())], true));
        comes(&stranger, b"two");
        assert_eq!(taken(8, 200.0), (vec![], false));
        comes(&peer, &[0; MAX_DATAGRAM_LEN + 1]);
        assert_eq!(taken(8, 300.0), (vec![], false));
        assert_eq!(
            end.dropped(),
            Dropped {
                unknown: 1,
                long: 1,
                ..Dropped::default()
            }
        );
        // Held up for longer than may be: what waits is as old as that, for all that is known.
        comes(&peer, b"old");
        assert_eq!(taken(8, 300.0 + 2.0 * WAITED_MOST), (vec![], false));
        comes(&peer, b"new");
        assert_eq!(
            taken(8, 301.0 + 2.0 * WAITED_MOST),
            (vec![(1, b"new".to_vec())], false)
        );
        // To nobody's address, and longer than any may be.
        end.send(&Transmit {
            to: Member(7),
            bytes: vec![0],
        });
        end.send(&Transmit {
            to: Member(1),
            bytes: vec![0; MAX_DATAGRAM_LEN + 1],
        });
        end.send(&Transmit {
            to: Member(1),
            bytes: b"out".to_vec(),
        });
        let mut bytes = [0; 8];
        assert_eq!(peer.recv_from(&mut bytes).expect("comes"), (3, at));
        assert_eq!(
            end.dropped(),
            Dropped {
                unknown: 1,
                long: 1,
                waited: 1,
                unsent: 2,
                ..Dropped::default()
            }
        );
    }
}
