//! Tests of a hollow tier with real datagrams. Timeouts only end a test that has already failed.
use balancer_lab::capacity::hollow::{learn_deployment, Running, Tier};
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(60);

fn tier(members: u16) -> Running {
    let sockets: Vec<UdpSocket> = (0..members)
        .map(|_| UdpSocket::bind("127.0.0.1:0").expect("binds"))
        .collect();
    let addresses: Vec<SocketAddr> = sockets
        .iter()
        .map(|s| s.local_addr().expect("an address"))
        .collect();
    let sockets = (0u16..).zip(sockets).collect();
    let tier = Tier {
        addresses,
        sockets,
        tenants: 3,
        zones: 2,
        deployment: 9,
        watched: Some(0),
    };
    tier.start().expect("starts")
}

#[test]
fn members_learn_of_peers_evidence_and_loss() {
    let tier = tier(6);
    assert!(tier.wait_until_up(6, TIMEOUT).expect("runs").is_some());
    assert!(tier.wait_for_evidence(2, TIMEOUT).expect("runs").is_some());
    tier.stop(3).expect("runs");
    assert!(tier.wait_until_up(5, TIMEOUT).expect("runs").is_some());
    let counted = tier.snapshot().expect("runs");
    assert_eq!((counted.running, counted.min_up), (5, 5));
    assert!(
        counted.sent > 0 && counted.read > 0 && counted.read <= counted.sent,
        "{counted:?}"
    );
    assert!(counted.sent_bytes <= counted.sent * 256, "{counted:?}");
    // The traffic of the watched member is part of the total.
    assert!(
        counted.to_watched.0 > 0 && counted.to_watched.0 < counted.sent,
        "{counted:?}"
    );
    assert!(
        counted.from_watched.0 > 0 && counted.from_watched.0 < counted.read,
        "{counted:?}"
    );
    assert!(counted.processor > Duration::ZERO);
    assert!(
        counted.max_lateness > Duration::ZERO && counted.max_lateness <= counted.at,
        "{counted:?}"
    );
}

#[test]
fn remaining_members_detect_simultaneous_losses() {
    let tier = tier(8);
    assert!(tier.wait_until_up(8, TIMEOUT).expect("runs").is_some());
    for lost in [1, 4] {
        tier.stop(lost).expect("runs");
    }
    assert!(tier.wait_until_up(6, TIMEOUT).expect("runs").is_some());
    let counted = tier.snapshot().expect("runs");
    assert_eq!(
        (counted.running, counted.min_up, counted.up_mean),
        (6, 6, 6.0)
    );
}

#[test]
fn deployment_is_read_from_a_member_datagram() {
    let bind = || UdpSocket::bind("127.0.0.1:0").expect("binds");
    let (hollow, listening) = (bind(), bind());
    let addresses = vec![
        hollow.local_addr().expect("one"),
        listening.local_addr().expect("one"),
    ];
    let (tenants, zones, deployment) = (3, 2, 0xfeed_0042);
    let tier = Tier {
        addresses,
        sockets: vec![(0, hollow)],
        tenants,
        zones,
        deployment,
        watched: None,
    };
    let _running = tier.start().expect("starts");
    let learned = learn_deployment(&[(1, listening)], TIMEOUT).expect("learns");
    assert_eq!(learned, deployment);
}
