//! Upper bounds of the time that datagrams were in transit, without synchronized clocks. Owns the smallest possible
//! offset of each peer's stamps behind this replica's clock. Independent of payloads.
//!
//! A stamp is a time in milliseconds from an arbitrary start chosen by the sender. If a datagram echoes one of our
//! stamps and the delay of the echo, it was in transit for at most the time since that stamp less the delay. This bound
//! holds whatever the clocks show. It also bounds the offset of the sender's stamps behind our clock, so that the stamp
//! of each later datagram alone bounds its time in transit, as long as both clocks run at nearly the same rate.
//! Datagrams received before such an exchange have no bound, and no data with an age is accepted from them.
use crate::types::{Member, Millis};
use crate::wire::v1::{Echo, TICK};

/// The maximum relative drift of two clocks: each rate is off by at most 1 in 1,000.
const DRIFT: f64 = 0.002;
/// The maximum rounding error: two stamps truncated to whole milliseconds.
const ROUNDING: Millis = 2.0;
/// The maximum age of an echoed stamp. With a probe every quarter of a second to one of 300 members, each pair
/// exchanges datagrams within this time; an older stamp could be one of a former process of this replica.
const MAX_ECHO_AGE: Millis = 300_000.0;
/// Datagrams that were in transit for longer are dropped: no bound on an age is much longer.
pub const MAX_TRANSIT: Millis = 2_000.0;

/// A peer's stamp, and the time at which it was received.
#[derive(Clone, Copy, Debug)]
struct ReceivedStamp {
    stamp: u32,
    at: Millis,
}

/// Our stamp less the peer's, less the bound on the time in transit.
#[derive(Clone, Copy, Debug)]
struct Offset {
    value: u32,
    measured_at: Millis,
}

impl Offset {
    /// The bound on the time in transit of a datagram whose stamp is `lag` behind our clock. `None` if the bound is
    /// negative or exceeds any plausible delay: then the stamp is from another process of the peer.
    fn transit_bound(self, now: Millis, lag: u32) -> Option<Millis> {
        let drift = (now - self.measured_at) * DRIFT;
        let bound = f64::from(lag.wrapping_sub(self.value) as i32) + drift + ROUNDING;
        (0.0..=MAX_ECHO_AGE).contains(&bound).then_some(bound)
    }
}

/// The known state of one peer's clock.
#[derive(Clone, Copy, Debug)]
struct PeerClock {
    /// The latest stamp received from the peer, which is echoed to it.
    latest: Option<ReceivedStamp>,
    /// Absent before the first exchange of stamps.
    offset: Option<Offset>,
}

/// The known clock offsets of all candidates.
#[derive(Debug)]
pub struct PeerClocks {
    peers: Vec<PeerClock>,
    /// Our first stamp, chosen at random so that an echo to a former process isn't mistaken for one to this process.
    first_stamp: u32,
    start: Millis,
}

impl PeerClocks {
    pub fn new(candidates: u16, first_stamp: u32, now: Millis) -> PeerClocks {
        let peers = vec![
            PeerClock {
                latest: None,
                offset: None
            };
            usize::from(candidates)
        ];
        PeerClocks {
            peers,
            first_stamp,
            start: now,
        }
    }

    /// The stamp for a datagram sent now.
    pub fn stamp(&self, now: Millis) -> u32 {
        // Wraps after 49 days; differences use the same wrapping arithmetic.
        self.first_stamp
            .wrapping_add((now - self.start).max(0.0) as u64 as u32)
    }

    /// The echo for a datagram to a peer, if a recent stamp of it is known.
    pub fn echo(&self, now: Millis, to: Member) -> Option<Echo> {
        let received = self.peers.get(usize::from(to.0))?.latest?;
        let delay = now - received.at;
        (delay < MAX_ECHO_AGE).then(|| Echo {
            stamp: received.stamp,
            delay: delay.max(0.0) as u32,
        })
    }

    /// Handles the stamp and echo of a datagram; returns the upper bound of its time in transit, if known.
    pub fn handle_stamp(
        &mut self,
        now: Millis,
        from: Member,
        stamp: u32,
        echo: Option<Echo>,
    ) -> Option<Millis> {
        let ours = self.stamp(now);
        let since_start = (now - self.start).max(0.0);
        let peer = self.peers.get_mut(usize::from(from.0))?;
        let lag = ours.wrapping_sub(stamp);
        let by_offset = peer
            .offset
            .and_then(|offset| offset.transit_bound(now, lag));
        let by_echo = echo.and_then(|echo| {
            let since_stamp = f64::from(ours.wrapping_sub(echo.stamp));
            let bound = since_stamp - f64::from(echo.delay) * (1.0 - DRIFT) + ROUNDING;
            let is_ours = since_stamp <= since_start.min(MAX_ECHO_AGE) && bound >= 0.0;
            is_ours.then_some(bound)
        });
        if let Some(bound) = by_echo {
            // Keeps the tighter bound.
            if by_offset.is_none_or(|by_offset| bound <= by_offset) {
                peer.offset = Some(Offset {
                    value: lag.wrapping_sub(bound.ceil() as u32),
                    measured_at: now,
                });
            }
        } else if by_offset.is_none() {
            peer.offset = None;
        }
        let bound = match (by_offset, by_echo) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        // The stamp of a late datagram does not replace a later stamp.
        let is_later = peer.latest.is_none_or(|latest| {
            (stamp.wrapping_sub(latest.stamp) as i32) >= 0
                || by_offset.is_none()
                || now - latest.at > MAX_ECHO_AGE
        });
        if is_later {
            peer.latest = Some(ReceivedStamp { stamp, at: now });
        }
        bound
    }
}

/// The earliest possible creation time of data with this age on the wire, for an upper bound of its time in transit.
pub fn earliest_creation(now: Millis, age: u8, transit: Millis) -> Millis {
    now - transit - f64::from(age) * TICK
}
