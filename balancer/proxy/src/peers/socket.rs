//! The UDP socket of the tier: receives datagrams from members and sends datagrams. Errors are only counted. Owns the
//! socket and the time when its receive queue was last empty.
use super::Addresses;
use crate::metrics::DroppedDatagrams;
use balancer_gossip::{Member, Millis, Transmit, MAX_DATAGRAM_LEN};
use std::cell::Cell;
use std::collections::HashMap;
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, UdpSocket};
use tokio::io::Interest;

/// Maximum time that a datagram may have been queued here because the program was stalled, in milliseconds. Beyond it,
/// the datagram is dropped, because its age is unknown.
const MAX_QUEUED_TIME: Millis = 500.0;

/// Whether datagrams may be left in the receive queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pending {
    /// More datagrams may be queued.
    Maybe,
    /// The queue was empty.
    Nothing,
}

/// This replica's socket in its tier.
pub(super) struct PeerSocket {
    socket: UdpSocket,
    /// The same socket, used only to wait for input. The runtime's readiness state may be outdated, so reads bypass it.
    waitable: tokio::net::UdpSocket,
    /// Addresses by member number.
    addresses: Vec<SocketAddr>,
    members: HashMap<SocketAddr, Member>,
    /// When the receive queue was last empty.
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

    /// Returns the local address.
    pub(super) fn local_addr(&self) -> Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Waits until there may be input, then clears the readiness state, so that the next call waits for new input.
    pub(super) async fn readable(&self) {
        if self.waitable.readable().await.is_err() {
            // The runtime is shutting down.
            std::future::pending().await
        }
        let _ = self.waitable.try_io(Interest::READABLE, || {
            Err::<(), _>(Error::from(ErrorKind::WouldBlock))
        });
    }

    /// Passes up to `max` queued datagrams to `handle`, each with the time taken before it was read.
    pub(super) fn receive(
        &self,
        max: usize,
        now: impl Fn() -> Millis,
        mut handle: impl FnMut(Millis, Member, &[u8]),
    ) -> Pending {
        let mut bytes = [0; MAX_DATAGRAM_LEN + 1];
        for _ in 0..max {
            // Takes the time before the read, so that the age of a datagram is never underestimated.
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
                // The error belongs to a datagram sent earlier, which counts as lost.
                Err(_) => {}
            }
        }
        Pending::Maybe
    }

    /// Returns the sender of a datagram, or counts the datagram as dropped.
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

    /// Returns the counts of datagrams dropped at the socket.
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
        let ((peer, peer_at), (non_member, _)) = (sender(), sender());
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
        arrives(&non_member, b"two");
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
        // After a stall longer than the maximum, a queued datagram may be as old as the stall.
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
    fn datagrams_that_cannot_be_sent_are_counted() {
        let runtime = runtime();
        let _inside = runtime.enter();
        let (peer, peer_at) = sender();
        let own = bind(peer_at);
        let at = own.local_addr().expect("an address");
        // One datagram to an unknown member, and one that exceeds the maximum length.
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
