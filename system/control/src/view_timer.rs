//! When this replica may propose the next view. This module owns the timeouts and the random delays between rounds;
//! whether a view is needed, and the order of the candidates, is decided in `view_change`.
//!
//! A round takes two disk syncs and two network round trips, whose duration is unbounded. Overlapping rounds abort
//! each other, so all delays between rounds grow exponentially with the number of failed rounds, until one proposer
//! has enough time to finish.
use magpiegap_protocol::Millis;
use rand::{rngs::StdRng, Rng, SeedableRng};

/// Additional delay for each rank before a candidate proposes in place of the candidates ahead of it.
const RANK_DELAY_MS: Millis = 250;
/// A round that has not completed is aborted after this time. The time doubles with each failed round from the second
/// on.
const ROUND_TIMEOUT_MS: Millis = 500;
/// Maximum number of times that the delays are doubled.
const MAX_DOUBLINGS: u32 = 3;
/// Upper bound of the random delay between rounds, before backoff. It keeps proposers from colliding repeatedly.
const MAX_JITTER_MS: Millis = 200;

/// Decides when a round may start.
#[derive(Clone, Debug)]
pub(crate) struct ViewTimer {
    /// When the current view started at this replica.
    view_since: Millis,
    /// Since when a view change has been needed without interruption.
    needed_since: Option<Millis>,
    /// The earliest start of the next round, before the delay by rank.
    next_round_at: Millis,
    /// The number of this replica's rounds that failed since a view change was first needed in this view.
    failed_rounds: u32,
    random: StdRng,
}

impl ViewTimer {
    /// The timer of a replica that starts now.
    pub(crate) fn new(seed: u64, now: Millis) -> ViewTimer {
        ViewTimer {
            view_since: now,
            needed_since: None,
            next_round_at: now,
            failed_rounds: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// How long the current view has been known.
    pub(crate) fn view_age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.view_since)
    }

    /// Resets the timer for a new view.
    pub(crate) fn start_view(&mut self, now: Millis) {
        self.view_since = now;
        self.needed_since = None;
        self.failed_rounds = 0;
    }

    /// Records that no view change is needed.
    pub(crate) fn record_not_needed(&mut self) {
        self.needed_since = None;
        self.failed_rounds = 0;
    }

    /// Records that a round of this replica has failed.
    pub(crate) fn record_failed_round(&mut self) {
        self.failed_rounds = self.failed_rounds.saturating_add(1);
    }

    /// How long a round may take before it is aborted.
    pub(crate) fn round_timeout(&self) -> Millis {
        ROUND_TIMEOUT_MS * self.backoff_factor()
    }

    /// The factor by which all delays are multiplied.
    fn backoff_factor(&self) -> u64 {
        1 << self.failed_rounds.saturating_sub(1).min(MAX_DOUBLINGS)
    }

    /// Records that a view change is needed; returns since when.
    pub(crate) fn record_needed(&mut self, now: Millis) -> Millis {
        *self.needed_since.get_or_insert(now)
    }

    /// Whether a candidate of this rank may start a round; the first candidate has rank 0.
    pub(crate) fn may_start_round(&self, rank: u64, needed_since: Millis, now: Millis) -> bool {
        let backoff_delay = rank * RANK_DELAY_MS * (self.backoff_factor() - 1);
        now >= needed_since + rank * RANK_DELAY_MS && now >= self.next_round_at + backoff_delay
    }

    /// Delays the next round because one starts now.
    pub(crate) fn delay_after_start(&mut self, now: Millis) {
        self.next_round_at = now + self.round_timeout() + self.jitter();
    }

    /// Delays the next round because this replica's round was rejected.
    pub(crate) fn delay_after_rejection(&mut self, now: Millis) {
        self.next_round_at = now + self.round_timeout() / 2 + self.jitter();
    }

    fn jitter(&mut self) -> Millis {
        self.random
            .gen_range(0..MAX_JITTER_MS * self.backoff_factor())
    }
}
