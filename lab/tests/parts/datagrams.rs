//! The network between balancers: addresses, loss, repetition and cuts of datagrams.
use balancer_lab::datagrams::{Conditions, Datagrams, MAX_DATAGRAM_BYTES};
use balancer_lab::experiment::Range;
use balancer_lab::net::Block;
use std::net::IpAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::timeout;

const TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn datagrams_use_one_address_per_peer() {
    let block = Block::claim().expect("a block");
    let calm = Conditions {
        delay: Range::fixed(0.0),
        loss: 0.0,
        repeat: 0.0,
    };
    let network = Datagrams::open(&[0, 0, 0], &block, calm, 1).expect("sockets");
    let own = UdpSocket::bind(block.peer(0)).await.expect("binds");
    let other = UdpSocket::bind(block.peer(2)).await.expect("binds");
    own.send_to(b"hello", network.peer(0, 2))
        .await
        .expect("sends");
    let (named, bytes) = timeout(TIMEOUT, network.next(0))
        .await
        .expect("in time")
        .expect("a datagram");
    assert_eq!(
        (IpAddr::V4(named), &bytes[..]),
        (network.peer(0, 2).ip(), &b"hello"[..])
    );

    network.deliver(Some(0), 2, &bytes).expect("sends");
    let mut read = [0; 16];
    let (length, from) = timeout(TIMEOUT, other.recv_from(&mut read))
        .await
        .expect("in time")
        .expect("reads");
    assert_eq!((&read[..length], from), (&b"hello"[..], network.peer(2, 0)));
    own.send_to(&[7; MAX_DATAGRAM_BYTES + 9], network.all(0))
        .await
        .expect("sends");
    let (named, bytes) = timeout(TIMEOUT, network.next(0))
        .await
        .expect("in time")
        .expect("a datagram");
    assert_eq!(
        (IpAddr::V4(named), bytes.len()),
        (network.all(0).ip(), MAX_DATAGRAM_BYTES + 1)
    );
}

#[tokio::test]
async fn datagrams_are_lost_repeated_and_cut_as_configured() {
    let block = Block::claim().expect("a block");
    let conditions = Conditions {
        delay: Range {
            least: 1.0,
            most: 9.0,
        },
        loss: 0.25,
        repeat: 0.5,
    };
    let network = Datagrams::open(&[0, 0], &block, conditions, 1).expect("sockets");
    let copies: Vec<usize> = (0..2000).map(|_| network.arrivals(0, 1).len()).collect();
    let count = |n: usize| copies.iter().filter(|&&c| c == n).count();
    assert!(
        (400..600).contains(&count(0)) && (600..900).contains(&count(2)),
        "{} {}",
        count(0),
        count(2)
    );
    network.cut(0, 1);
    assert!((0..50).all(|_| network.arrivals(0, 1).is_empty()));
    assert!(
        (0..50).any(|_| !network.arrivals(1, 0).is_empty()),
        "the other direction is open"
    );
    network.heal(0, 1);
    assert!((0..50).any(|_| !network.arrivals(0, 1).is_empty()));
}
