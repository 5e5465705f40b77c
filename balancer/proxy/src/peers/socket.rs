//! The UDP socket of the tier: datagrams in, by their sender, and out. Whatever goes wrong is counted and goes no further.
//! Owns the socket and when it was last seen empty.
use super::Addresses;
use crate::metrics::DroppedDatagrams;
use balancer_gossip::{Member, Millis, Transmit, MAX_DATAGRAM_LEN};
use std::cell::Cell;
use std::collections::HashMap;
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, UdpSocket};
use tokio::io::Interest;

/// A datagram that may have waited here for longer than this, since the program was stalled, is of no use: its age could
/// not be told.
const MAX_QUEUED_TIME: Millis = 500.0;

/// What a read of the socket left behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pending {
    /// More datagrams may wait.
    Maybe,
    /// None waits.
    Nothing,
}

/// This replica's socket in its tier.
pub(super) struct PeerSocket {
    socket: UdpSocket,
    /// The same socket, to wait on it alone: what the runtime believes of it may be older than what waits there.
    waitable: tokio::net::UdpSocket,
    /// Addresses by the member's number.
    addresses: Vec<SocketAddr>,
    members: HashMap<SocketAddr, Member>,
    /// At this time no datagram waited.
    last_empty_at: Cell<Millis>,
    dropped: Cell<DroppedDatagrams>,
}

impl PeerSocket {
    /// Binds the socket.
    pub(super) fn bind(addresses: Addresses) -> Result<PeerSocket> {
        let socket = UdpSocket::bind(addresses.listen)?;
        socket.set_nonblocking(true)?;
        let waitable = tokio::net::UdpSocket::from_std(socket.try_clone()?)?;
        Ok(PeerSocket {
            socket,
            waitable,
            members: addresses.senders(),
            addresses: addresses.peers,
            last_empty_at: Cell::new(0.0),
            dropped: Cell::default(),
        })
    }

    /// Returns where it listens.
    pub(super) fn local_addr(&self) -> Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Waits until something may have come. What comes from now on ends the next wait.
    pub(super) async fn readable(&self) {
        if self.waitable.readable().await.is_err() {
            // The runtime is at its end.
            std::future::pending().await
        }
        let _ = self.waitable.try_io(Interest::READABLE, || {
            Err::<(), _>(Error::from(ErrorKind::WouldBlock))
        });
    }

    /// Hands up to `max` of the datagrams that wait to `handle`, each with the time before it was read.
    pub(super) fn receive(
        &self,
        max: usize,
        now: impl Fn() -> Millis,
        mut handle: impl FnMut(Millis, Member, &[u8]),
    ) -> Pending {
        let mut bytes = [0; MAX_DATAGRAM_LEN + 1];
        for _ in 0..max {
            // The time goes before the read: whatever comes in between is taken for older than it is.
            let at = now();
            match self.socket.recv_from(&mut bytes) {
                Ok((length, from)) => {
                    if let Some(member) = self.accept(at, length, from) {
                        handle(at, member, &bytes[..length]);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.last_empty_at.set(at);
                    return Pending::Nothing;
                }
                // Of a datagram that was sent earlier: it is as good as lost.
                Err(_) => {}
            }
        }
        Pending::Maybe
    }

    /// Returns the sender of a datagram, or counts why the datagram is dropped.
    fn accept(&self, at: Millis, length: usize, from: SocketAddr) -> Option<Member> {
        let Some(&member) = self.members.get(&from) else {
            self.count(|dropped| dropped.unknown_sender += 1);
            return None;
        };
        if length > MAX_DATAGRAM_LEN {
            self.count(|dropped| dropped.too_long += 1);
            return None;
        }
        if at - self.last_empty_at.get() > MAX_QUEUED_TIME {
            self.count(|dropped| dropped.waited_too_long += 1);
            return None;
        }
        Some(member)
    }

    /// Sends a datagram, if the system accepts it at once.
    pub(super) fn send(&self, datagram: &Transmit) {
        let is_sent = match self.addresses.get(usize::from(datagram.to.0)) {
            Some(to) if datagram.bytes.len() <= MAX_DATAGRAM_LEN => {
                self.socket.send_to(&datagram.bytes, to).is_ok()
            }
            _ => false,
        };
        if !is_sent {
            self.count(|dropped| dropped.unsent += 1);
        }
    }

    /// Returns the counts of what was dropped here.
    pub(super) fn dropped(&self) -> DroppedDatagrams {
        self.dropped.get()
    }

    fn count(&self, add: impl FnOnce(&mut DroppedDatagrams)) {
        let mut dropped = self.dropped.get();
        add(&mut dropped);
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

    fn runtime() -> tokio::runtime::Runtime {
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime")
    }

    /// The socket of member 0, whose peer is member 1.
    fn bind(peer: SocketAddr) -> PeerSocket {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let peers = vec![listen, peer];
        PeerSocket::bind(Addresses { listen, peers }).expect("binds")
    }

    #[test]
    fn datagrams_are_received_from_members_alone_and_only_if_their_age_is_known() {
        let runtime = runtime();
        let _inside = runtime.enter();
        let ((peer, peer_at), (stranger, _)) = (sender(), sender());
        let own = bind(peer_at);
        let at = own.local_addr().expect("an address");
        let receive = |max: usize, now: Millis| {
            let mut received = Vec::new();
            let pending = own.receive(
                max,
                || now,
                |_, member, bytes| received.push((member.0, bytes.to_vec())),
            );
            (received, pending)
        };
        let arrives = |socket: &UdpSocket, bytes: &[u8]| {
            socket.send_to(bytes, at).expect("sends");
            while own.socket.peek_from(&mut [0]).is_err() {
                std::thread::yield_now();
            }
        };
        assert_eq!(receive(8, 100.0), (vec![], Pending::Nothing));
        arrives(&peer, b"one");
        assert_eq!(
            receive(1, 200.0),
            (vec![(1, b"one".to_vec())], Pending::Maybe)
        );
        arrives(&stranger, b"two");
        assert_eq!(receive(8, 200.0), (vec![], Pending::Nothing));
        arrives(&peer, &[0; MAX_DATAGRAM_LEN + 1]);
        assert_eq!(receive(8, 300.0), (vec![], Pending::Nothing));
        assert_eq!(
            own.dropped(),
            DroppedDatagrams {
                unknown_sender: 1,
                too_long: 1,
                ..DroppedDatagrams::default()
            }
        );
        // Stalled for longer than may be: what waits is as old as that, for all that is known.
        arrives(&peer, b"old");
        assert_eq!(
            receive(8, 300.0 + 2.0 * MAX_QUEUED_TIME),
            (vec![], Pending::Nothing)
        );
        arrives(&peer, b"new");
        assert_eq!(
            receive(8, 301.0 + 2.0 * MAX_QUEUED_TIME),
            (vec![(1, b"new".to_vec())], Pending::Nothing)
        );
        assert_eq!(
            own.dropped(),
            DroppedDatagrams {
                unknown_sender: 1,
                too_long: 1,
                waited_too_long: 1,
                ..DroppedDatagrams::default()
            }
        );
    }

    #[test]
    fn what_cannot_be_sent_is_counted() {
        let runtime = runtime();
        let _inside = runtime.enter();
        let (peer, peer_at) = sender();
        let own = bind(peer_at);
        let at = own.local_addr().expect("an address");
        // To nobody's address, and longer than any may be.
        own.send(&Transmit {
            to: Member(7),
            bytes: vec![0],
        });
        own.send(&Transmit {
            to: Member(1),
            bytes: vec![0; MAX_DATAGRAM_LEN + 1],
        });
        own.send(&Transmit {
            to: Member(1),
            bytes: b"out".to_vec(),
        });
        let mut bytes = [0; 8];
        assert_eq!(peer.recv_from(&mut bytes).expect("comes"), (3, at));
        assert_eq!(
            own.dropped(),
            DroppedDatagrams {
                unsent: 2,
                ..DroppedDatagrams::default()
            }
        );
    }
}
