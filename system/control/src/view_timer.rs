//! When this replica may propose the next view. It owns the times and the random delays between rounds; whether a view is
//! needed, and who comes first, is decided in `view_change`.
//!
//! A round takes two syncs and two round trips, and nothing bounds those. Proposers whose rounds overlap cut each other
//! short, so all times between rounds grow with the rounds that led to nothing (exponential backoff), until one of them
//! has enough time for itself.
use magpiegap_protocol::Millis;
use rand::{rngs::StdRng, Rng, SeedableRng};

/// How long each further candidate waits before it proposes in place of those before it.
const RANK_DELAY_MS: Millis = 250;
/// A round that has led to nothing is given up after this time ...
const ROUND_TIMEOUT_MS: Millis = 500;
/// ... doubled after each failure from the second on, so often at most.
const MAX_DOUBLINGS: u32 = 3;
/// Random delays between rounds are below this at first, so that proposers do not collide again and again.
const MAX_JITTER_MS: Millis = 200;

/// The times that decide when a round begins.
#[derive(Clone, Debug)]
pub(crate) struct ViewTimer {
    /// When the current view was taken up.
    view_since: Millis,
    /// Since when another view has been needed without a break.
    needed_since: Option<Millis>,
    /// No round begins before.
    next_round_at: Millis,
    /// How many rounds of this replica have led to nothing since the view was taken up.
    failed_rounds: u32,
    random: StdRng,
}

impl ViewTimer {
    /// A timer of a replica that starts now.
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

    /// Restarts with a new view.
    pub(crate) fn start_view(&mut self, now: Millis) {
        self.view_since = now;
        self.needed_since = None;
        self.failed_rounds = 0;
    }

    /// Records that no other view is needed.
    pub(crate) fn record_not_needed(&mut self) {
        self.needed_since = None;
        self.failed_rounds = 0;
    }

    /// Records that a round has led to nothing.
    pub(crate) fn record_failed_round(&mut self) {
        self.failed_rounds = self.failed_rounds.saturating_add(1);
    }

    /// How long a round may take.
    pub(crate) fn round_timeout(&self) -> Millis {
        ROUND_TIMEOUT_MS * self.backoff()
    }

    /// By how much times are longer than at first.
    fn backoff(&self) -> u64 {
        1 << self.failed_rounds.saturating_sub(1).min(MAX_DOUBLINGS)
    }

    /// Records that another view is needed; returns since when.
    pub(crate) fn record_needed(&mut self, now: Millis) -> Millis {
        *self.needed_since.get_or_insert(now)
    }

    /// Whether a candidate of this rank (0: the first) may begin a round.
    pub(crate) fn may_start_round(&self, rank: u64, needed_since: Millis, now: Millis) -> bool {
        let backoff_delay = rank * RANK_DELAY_MS * (self.backoff() - 1);
        now >= needed_since + rank * RANK_DELAY_MS && now >= self.next_round_at + backoff_delay
    }

    /// Delays the next round, since one begins now.
    pub(crate) fn delay_after_start(&mut self, now: Millis) {
        self.next_round_at = now + self.round_timeout() + self.jitter();
    }

    /// Delays the next round, since this replica's own was rejected.
    pub(crate) fn delay_after_rejection(&mut self, now: Millis) {
        self.next_round_at = now + self.round_timeout() / 2 + self.jitter();
    }

    fn jitter(&mut self) -> Millis {
        self.random.gen_range(0..MAX_JITTER_MS * self.backoff())
    }
}
