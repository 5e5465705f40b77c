//! Bounds on how long a datagram was in transit, without ever comparing two clocks. Owns, for each peer, the smallest
//! offset that its stamps can have behind this replica's clock. Knows no payload.
//!
//! A stamp is the sender's milliseconds from a start that only it knows. When a datagram echoes a stamp of ours and
//! the delay of the echo, it has been in transit for at most the time since we gave that stamp, less the delay: a
//! bound for this datagram that holds whatever the clocks say. From it follows a bound on how far the sender's stamps
//! are behind our clock, and with that every later datagram's time in transit is bounded by its own stamp alone, as
//! long as both clocks run at nearly one rate. What came before any such exchange can't be bounded, and nothing
//! that ages is taken from it.
use crate::types::{Member, Millis};
use crate::wire::v1::{Echo, TICK};

/// The drift of two clocks in a millisecond at most: rates differ by at most 1 in 1,000 each way.
const DRIFT: f64 = 0.002;
/// Stamps are whole milliseconds, cut off at both ends.
const ROUNDING: Millis = 2.0;
/// The oldest stamp of ours that may be echoed. Replicas probe one another every quarter of a second, one of 300 at a
/// time, so that within this a pair has met; beyond it a stamp could be one of a former process of this replica.
const MAX_ECHO_AGE: Millis = 300_000.0;
/// A datagram that was in transit for longer is too old: no bound on an age is much longer.
pub const MAX_TRANSIT: Millis = 2_000.0;

/// A peer's stamp, and when it was received.
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
    /// The bound on the time in transit that it gives a stamp that is this far behind our clock. None for a stamp from
    /// before its own sending, or from beyond any delay: that is of another process of the peer.
    fn transit_bound(self, now: Millis, lag: u32) -> Option<Millis> {
        let drift = (now - self.measured_at) * DRIFT;
        let bound = f64::from(lag.wrapping_sub(self.value) as i32) + drift + ROUNDING;
        (0.0..=MAX_ECHO_AGE).contains(&bound).then_some(bound)
    }
}

/// What is known of one peer's stamps.
#[derive(Clone, Copy, Debug)]
struct PeerClock {
    /// The latest stamp received from it: what is echoed.
    latest: Option<ReceivedStamp>,
    /// Absent before the first exchange of stamps.
    offset: Option<Offset>,
}

/// The offsets of all candidates' clocks, as far as they are known.
#[derive(Debug)]
pub struct PeerClocks {
    peers: Vec<PeerClock>,
    /// Our first stamp: drawn at random, so that an echo to a former process doesn't pass for one to this.
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
        // Wraps after 49 days; differences are taken in the same arithmetic.
        self.first_stamp
            .wrapping_add((now - self.start).max(0.0) as u64 as u32)
    }

    /// The echo for a peer.
    pub fn echo(&self, now: Millis, to: Member) -> Option<Echo> {
        let received = self.peers.get(usize::from(to.0))?.latest?;
        let delay = now - received.at;
        (delay < MAX_ECHO_AGE).then(|| Echo {
            stamp: received.stamp,
            delay: delay.max(0.0) as u32,
        })
    }

    /// Takes a datagram's stamp and echo; returns the bound on its time in transit, where that is known.
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
            // The tighter one stays.
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
        // A late datagram's stamp is not echoed in place of a later one's.
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

/// The earliest time at which something of this age on the wire was created, if it was in transit for at most so long.
pub fn earliest_creation(now: Millis, age: u8, transit: Millis) -> Millis {
    now - transit - f64::from(age) * TICK
}
