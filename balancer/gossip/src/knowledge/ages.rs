//! How long a datagram may have been in transit, without ever comparing two clocks. Owns, for each peer, the least that
//! its stamps can be behind this replica's clock.
//!
//! A stamp is the sender's milliseconds from a start that only it knows. When a datagram echoes a stamp of ours and
//! how long it was held, it has been in transit for at most the time since we gave that stamp, less the holding: a
//! bound for this datagram that holds whatever the clocks say. From it follows a bound on how far the sender's stamps
//! are behind our clock, and with that every later datagram's time in transit is bounded by its own stamp alone, as
//! long as both clocks run at nearly one rate. What came before any such exchange can't be bounded, and nothing
//! that ages is taken from it.
use crate::types::{Member, Millis};
use crate::wire::v1::{Echo, TICK};

/// What two clocks may drift apart in a millisecond: rates differ by at most 1 in 1,000 each way.
const DRIFT: f64 = 0.002;
/// Stamps are whole milliseconds, cut off at both ends.
const ROUNDING: Millis = 2.0;
/// The oldest stamp of ours that may be echoed. Replicas probe one another every quarter of a second, one of 300 at a
/// time, so that within this a pair has met; beyond it a stamp could be one of a former run of this replica.
const MAX_ECHO_AGE: Millis = 300_000.0;
/// A datagram that was in transit for longer is old: no bound on an age is much longer.
pub const MAX_TRANSIT: Millis = 2_000.0;

/// What is known of one peer's stamps.
#[derive(Clone, Copy, Debug)]
struct Peer {
    /// The latest stamp read from it and when: what is echoed.
    latest: Option<(u32, Millis)>,
    /// Our stamp less the peer's, less the time in transit at most, and when that was measured.
    offset: Option<(u32, Millis)>,
}

/// The clocks of all candidates, as far as they need be known.
#[derive(Debug)]
pub struct Clocks {
    peers: Vec<Peer>,
    /// Our first stamp: drawn at random, so that an echo to a former run doesn't pass for one to this.
    first: u32,
    start: Millis,
}

impl Clocks {
    pub fn new(candidates: u16, first: u32, now: Millis) -> Clocks {
        let peers = vec![
            Peer {
                latest: None,
                offset: None
            };
            usize::from(candidates)
        ];
        Clocks {
            peers,
            first,
            start: now,
        }
    }

    /// The stamp for a datagram sent now.
    pub fn stamp(&self, now: Millis) -> u32 {
        // Wraps after 49 days; differences are taken in the same arithmetic.
        self.first
            .wrapping_add((now - self.start).max(0.0) as u64 as u32)
    }

    /// The echo for a peer.
    pub fn echo(&self, now: Millis, to: Member) -> Option<Echo> {
        let (stamp, at) = self.peers.get(usize::from(to.0))?.latest?;
        let held = now - at;
        (held < MAX_ECHO_AGE).then(|| Echo {
            stamp,
            held: held.max(0.0) as u32,
        })
    }

    /// Takes a datagram's stamp and echo; how long it was in transit at most, where that is known.
    pub fn read(
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
        // A stamp that would come from before its own sending, or from beyond any delay, is of another run of the peer.
        let by_offset = peer.offset.and_then(|(offset, at)| {
            let bound = f64::from(lag.wrapping_sub(offset) as i32) + (now - at) * DRIFT + ROUNDING;
            (0.0..=MAX_ECHO_AGE).contains(&bound).then_some(bound)
        });
        let by_echo = echo.and_then(|echo| {
            let since = f64::from(ours.wrapping_sub(echo.stamp));
            let held = f64::from(echo.held);
            let bound = since - held * (1.0 - DRIFT) + ROUNDING;
            (since <= since_start.min(MAX_ECHO_AGE) && bound >= 0.0).then_some(bound)
        });
        if let Some(bound) = by_echo {
            // The tighter one stays.
            if by_offset.is_none_or(|by_offset| bound <= by_offset) {
                peer.offset = Some((lag.wrapping_sub(bound.ceil() as u32), now));
            }
        } else if by_offset.is_none() {
            peer.offset = None;
        }
        let bound = match (by_offset, by_echo) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        // A late datagram's stamp is not echoed in place of a later one's.
        let later = peer.latest.is_none_or(|(latest, at)| {
            (stamp.wrapping_sub(latest) as i32) >= 0
                || by_offset.is_none()
                || now - at > MAX_ECHO_AGE
        });
        if later {
            peer.latest = Some((stamp, now));
        }
        bound
    }
}

/// When something of this age on the wire was created at the earliest, if it was in transit for at most this long.
pub fn created(now: Millis, age: u8, transit: Millis) -> Millis {
    now - transit - f64::from(age) * TICK
}
