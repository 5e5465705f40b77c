//! How long renewals of leases wait for a completion, and how long the leases are.
use magpiegap_protocol::Millis;

/// How long a renewal may wait for a completion, where not too many workers have runs.
const LONG_POLL_MS: u64 = 500;
/// With more workers that have runs than this, long polls are longer in proportion: calls then grow with the completions,
/// not with the number of workers.
const MAX_UNSCALED_WORKERS: u64 = 400;
/// Long polls are never longer than this.
const MAX_LONG_POLL_MS: u64 = 1500;
/// Length of a lease: long enough for all coordinators to restart, and no longer, since the runs of an unresponsive
/// worker can't be started elsewhere before it expires.
const LEASE_MS: u64 = 3200;

/// The length of long polls and leases, by the number of workers that have runs.
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
    /// The timing for so many workers that have runs.
    pub(crate) fn for_busy_workers(busy: usize) -> LeaseTiming {
        let proportional = LONG_POLL_MS.saturating_mul(busy as u64) / MAX_UNSCALED_WORKERS;
        LeaseTiming {
            wait_ms: proportional.clamp(LONG_POLL_MS, MAX_LONG_POLL_MS),
        }
    }

    /// How long a renewal may wait for a completion.
    pub(crate) fn long_poll_ms(self) -> Millis {
        self.wait_ms
    }

    /// Length of the leases that are granted: longer by as much as the next renewal may come later.
    pub(crate) fn lease_ms(self, max_hold_ms: u64) -> u64 {
        (LEASE_MS + self.wait_ms - LONG_POLL_MS).min(max_hold_ms * 9 / 10)
    }
}
