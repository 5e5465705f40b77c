//! Durations of long polls and leases.
use magpiegap_protocol::Millis;

/// Duration of long polls with up to [`MAX_UNSCALED_WORKERS`] busy workers.
const LONG_POLL_MS: u64 = 500;
/// Above this number of busy workers, long polls lengthen in proportion, so that the rate of calls grows with the
/// number of completions instead of the number of workers.
const MAX_UNSCALED_WORKERS: u64 = 400;
/// Maximum duration of a long poll.
const MAX_LONG_POLL_MS: u64 = 1500;
/// Base duration of a lease: long enough for all coordinators to restart, and no longer, because the runs of an
/// unresponsive worker cannot be restarted elsewhere before its lease expires.
const LEASE_MS: u64 = 3200;

/// Durations of long polls and leases, derived from the number of busy workers.
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
    /// Returns the timing for `busy` workers that have runs.
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

    /// Duration of granted leases: extended by as much as long polls exceed their base duration, and capped at nine
    /// tenths of `max_lease_ms`.
    pub(crate) fn lease_ms(self, max_lease_ms: u64) -> u64 {
        (LEASE_MS + self.wait_ms - LONG_POLL_MS).min(max_lease_ms * 9 / 10)
    }
}
