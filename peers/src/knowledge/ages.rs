//! How long a datagram may have been under way, without ever comparing two clocks. Owns, for each peer, the least that
//! its stamps can be behind this copy's clock.
//!
//! A stamp is the sender's milliseconds from a start that only it knows. When a datagram tells back a stamp of ours and
//! how long it was held, it has been under way for at most the time since we gave that stamp, less the holding: a
//! bound for this datagram that holds whatever the clocks say. From it follows a bound on how far the sender's stamps
//! are behind our clock, and with that every later datagram's time under way is bounded by its own stamp alone, as
//! long as both clocks run at nearly one rate. What came before any such exchange can't be bounded, and nothing
//! that ages is taken from it.
use crate::types::{Member, Millis};
use crate::wire::v1::{Echo, TICK};

/// What two clocks may drift apart in a millisecond: rates differ by at most 1 in 1,000 each way.
const DRIFT: f64 = 0.002;
/// Stamps are whole milliseconds, cut off at both ends.
const ROUNDING: Millis = 2.0;
/// The oldest stamp of ours that may be told back. Copies ask one another every quarter of a second, one of 300 at a
/// time, so that within this a pair has met; beyond it a stamp could be one of a former run of this copy.
const ECHO_MOST: Millis = 300_000.0;
/// A datagram that was under way for longer is old: no knowledge's bound outlives it by much.
pub const UNDERWAY_MOST: Millis = 2_000.0;

/// What is held of one peer's stamps.
#[derive(Clone, Copy, Debug)]
struct Peer {
    /// The latest stamp read from it and when: what is told back.
    last: Option<(u32, Millis)>,
    /// Our stamp less the peer's, less the time under way at most, and when that was measured.
    behind: Option<(u32, Millis)>,
}

/// The clocks of all candidates, as far as they need be known.
#[derive(Debug)]
pub struct Clocks {
    peers: Vec<Peer>,
    /// Our first stamp: drawn at random, so that what is told back from a former run doesn't pass for one of this.
    first: u32,
    start: Millis,
}

impl Clocks {
    pub fn new(candidates: u16, first: u32, now: Millis) -> Clocks {
        let peers = vec![Peer { last: None, behind: None }; usize::from(candidates)];
        Clocks { peers, first, start: now }
    }

    /// The stamp for a datagram sent now.
    pub fn stamp(&self, now: Millis) -> u32 {
        // Wraps after 49 days; differences are taken in the same arithmetic.
        self.first.wrapping_add((now - self.start).max(0.0) as u64 as u32)
    }

    /// What is told back to a peer.
    pub fn echo(&self, now: Millis, to: Member) -> Option<Echo> {
        let (stamp, at) = self.peers.get(usize::from(to.0))?.last?;
        let held = now - at;
        (held < ECHO_MOST).then(|| Echo { stamp, held: held.max(0.0) as u32 })
    }

    /// Takes a datagram's stamp and echo; how long it was under way at most, where that can be told.
    pub fn read(&mut self, now: Millis, from: Member, stamp: u32, echo: Option<Echo>) -> Option<Millis> {
        let ours = self.stamp(now);
        let since_start = (now - self.start).max(0.0);
        let peer = self.peers.get_mut(usize::from(from.0))?;
        let lag = ours.wrapping_sub(stamp);
        // A stamp that would come from before its own sending, or from beyond any delay, is of another run of the peer.
        let by_stamp = peer.behind.and_then(|(behind, at)| {
            let bound = f64::from(lag.wrapping_sub(behind) as i32) + (now - at) * DRIFT + ROUNDING;
            (0.0..=ECHO_MOST).contains(&bound).then_some(bound)
        });
        let by_echo = echo.and_then(|echo| {
            let since = f64::from(ours.wrapping_sub(echo.stamp));
            let held = f64::from(echo.held);
            let bound = since - held * (1.0 - DRIFT) + ROUNDING;
            (since <= since_start.min(ECHO_MOST) && bound >= 0.0).then_some(bound)
        });
        if let Some(bound) = by_echo {
            // The tighter one stays.
            if by_stamp.is_none_or(|by_stamp| bound <= by_stamp) {
                peer.behind = Some((lag.wrapping_sub(bound.ceil() as u32), now));
            }
        } else if by_stamp.is_none() {
            peer.behind = None;
        }
        let bound = match (by_stamp, by_echo) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        // A late datagram's stamp is not told back in place of a later one's.
        let later = peer.last.is_none_or(|(last, at)| {
            (stamp.wrapping_sub(last) as i32) >= 0 || by_stamp.is_none() || now - at > ECHO_MOST
        });
        if later {
            peer.last = Some((stamp, now));
        }
        bound
    }
}

/// When what has this age on the wire was born at the earliest, if it was under way for at most this long.
pub fn born(now: Millis, age: u8, underway: Millis) -> Millis {
    now - underway - f64::from(age) * TICK
}
