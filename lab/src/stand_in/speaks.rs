//! Datagrams to peers, rightly made or not.
use super::wrong::Wrong;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::UdpSocket;

const EVERY: Duration = Duration::from_millis(50);

/// What one sends to its peers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Voice {
    /// The version it sends, and the highest it reads; the lowest is 1.
    version: u8,
    most: u8,
    /// Its number of the agreement goes back.
    rewinds: bool,
    /// It sends nothing that can be read.
    mumbles: bool,
}

impl Voice {
    /// The voice of one that speaks at all.
    pub(super) fn of(wrong: Wrong) -> Option<Voice> {
        let voice = |version, most| Voice {
            version,
            most,
            rewinds: false,
            mumbles: false,
        };
        match wrong {
            Wrong::SpeaksOld => Some(voice(1, 1)),
            Wrong::Misspeaks => Some(voice(2, 2)),
            Wrong::Clings => Some(voice(1, 2)),
            Wrong::Rewinds => Some(Voice {
                rewinds: true,
                ..voice(1, 1)
            }),
            Wrong::Mumbles => Some(Voice {
                mumbles: true,
                ..voice(1, 1)
            }),
            _ => None,
        }
    }

    /// Its datagram of this number.
    fn datagram(self, place: u16, number: u64) -> Vec<u8> {
        let mut bytes = b"oP".to_vec();
        bytes.extend([self.version, 1, self.most]);
        bytes.extend(place.to_be_bytes());
        // Its incarnation and deployment.
        bytes.extend(7u64.to_be_bytes());
        bytes.extend(9u32.to_be_bytes());
        bytes.extend(
            if self.rewinds {
                1000 - number % 1000
            } else {
                1
            }
            .to_be_bytes(),
        );
        bytes.extend(b"nothing more to say");
        let sum = if self.mumbles {
            0
        } else {
            crc32fast::hash(&bytes)
        };
        bytes.extend(sum.to_be_bytes());
        bytes
    }
}

/// Speaks to all peers until it is killed.
pub(super) async fn speak(voice: Voice, place: u16, own: IpAddr, to: SocketAddr) {
    let Ok(socket) = UdpSocket::bind((own, 0)).await else {
        return;
    };
    for number in 0.. {
        // Whether it arrives is the lab's to see.
        let _ = socket.send_to(&voice.datagram(place, number), to).await;
        tokio::time::sleep(EVERY).await;
    }
}
