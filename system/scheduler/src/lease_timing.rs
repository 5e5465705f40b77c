//! How long holds wait for an end, and how long they hold.
use magpiegap_protocol::Millis;

/// Longest time that a hold's answer may wait for an end, where not too many workers have runs.
const LONG_POLL_MS: u64 = 500;
/// With more workers that have runs than this, waits are longer in proportion: looks then grow with the ends, not with
/// the number of workers.
const MAX_UNSCALED_WORKERS: u64 = 400;
/// Waits are never longer than this.
const MAX_LONG_POLL_MS: u64 = 1500;
/// How long a worker holds its runs: long enough for all coordinators to be started again, and no longer, since the
/// runs of a worker that falls silent can't be started elsewhere before.
const LEASE_MS: u64 = 3200;

/// How long holds wait and hold, by the number of workers that have runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseTiming {
    wait_ms: Millis,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        LeaseTiming {
            wait_ms: LONG_POLL_MS,
        }
    }
}

impl LeaseTiming {
    /// For so many workers that have runs.
    pub(crate) fn for_busy_workers(busy: usize) -> LeaseTiming {
        let proportional = LONG_POLL_MS.saturating_mul(busy as u64) / MAX_UNSCALED_WORKERS;
        LeaseTiming {
            wait_ms: proportional.clamp(LONG_POLL_MS, MAX_LONG_POLL_MS),
        }
    }

    /// How long an answer may wait for an end.
    pub(crate) fn long_poll_ms(self) -> Millis {
        self.wait_ms
    }

    /// How long workers are told to hold what they run: as much longer as the next hold may come later.
    pub(crate) fn lease_ms(self, max_hold_ms: u64) -> u64 {
        (LEASE_MS + self.wait_ms - LONG_POLL_MS).min(max_hold_ms * 9 / 10)
    }
}
