//! Sends datagrams to peers, well-formed or not. The format is defined by the oracle's `header` module.
use super::misbehavior::Misbehavior;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::UdpSocket;

/// The time between two datagrams.
const SEND_INTERVAL: Duration = Duration::from_millis(50);

const INCARNATION: u64 = 7;
const DEPLOYMENT: u32 = 9;

/// Sends datagrams that advertise protocol versions to peers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Advertiser {
    /// The version that it sends.
    version: u8,
    /// The highest version that it claims to read; the lowest is 1.
    max_version: u8,
    epochs: Epochs,
    checksum: Checksum,
}

/// The epochs that successive datagrams name.
#[derive(Clone, Copy, Debug)]
enum Epochs {
    Constant,
    Falling,
}

#[derive(Clone, Copy, Debug)]
enum Checksum {
    Valid,
    Zero,
}

impl Advertiser {
    /// The advertiser of a misbehavior, if it sends datagrams.
    pub(super) fn of(misbehavior: Misbehavior) -> Option<Advertiser> {
        let versions = |version, max_version| Advertiser {
            version,
            max_version,
            epochs: Epochs::Constant,
            checksum: Checksum::Valid,
        };
        match misbehavior {
            Misbehavior::OldVersionOnly => Some(versions(1, 1)),
            Misbehavior::UnreadableVersion => Some(versions(2, 2)),
            Misbehavior::NeverAgree => Some(versions(1, 2)),
            Misbehavior::RewindEpoch => Some(Advertiser {
                epochs: Epochs::Falling,
                ..versions(1, 1)
            }),
            Misbehavior::InvalidChecksum => Some(Advertiser {
                checksum: Checksum::Zero,
                ..versions(1, 1)
            }),
            _ => None,
        }
    }

    /// The `number`-th datagram of the member with this index in its tier.
    fn datagram(self, index: u16, number: u64) -> Vec<u8> {
        let epoch: u64 = match self.epochs {
            Epochs::Constant => 1,
            Epochs::Falling => 1000 - number % 1000,
        };
        let mut bytes = b"oP".to_vec();
        bytes.extend([self.version, 1, self.max_version]);
        bytes.extend(index.to_be_bytes());
        bytes.extend(INCARNATION.to_be_bytes());
        bytes.extend(DEPLOYMENT.to_be_bytes());
        bytes.extend(epoch.to_be_bytes());
        bytes.extend(b"nothing more to say");
        let checksum = match self.checksum {
            Checksum::Valid => crc32fast::hash(&bytes),
            Checksum::Zero => 0,
        };
        bytes.extend(checksum.to_be_bytes());
        bytes
    }

    /// Sends datagrams to all peers until dropped.
    pub(super) async fn run(self, index: u16, from: IpAddr, peers: SocketAddr) {
        let Ok(socket) = UdpSocket::bind((from, 0)).await else {
            return;
        };
        for number in 0.. {
            // The lab detects missing datagrams.
            let _ = socket.send_to(&self.datagram(index, number), peers).await;
            tokio::time::sleep(SEND_INTERVAL).await;
        }
    }
}
