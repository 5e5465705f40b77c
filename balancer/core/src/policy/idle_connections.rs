//! Learns the loss rate of calls on idle connections, and decides when to close these.
use crate::{interface::*, state::*};

/// First step of the idle times by which loss rates are bucketed; each further step doubles.
const FIRST_IDLE_STEP: Millis = 125.0;
/// Smoothing factor of the loss rates.
const LOSS_GAIN: f64 = 0.1;
/// Loss rate above which idle connections count as dropped by the network.
const DROPPED_LOSS_RATE: f64 = 0.2;
/// Fraction of calls that still use connections that count as dropped.
const TRIAL_FRACTION: f64 = 0.02;

/// Connection for the next call.
pub(super) enum NextConnection {
    /// A connection that may have been idle for this many steps; zero for a new one.
    Open {
        /// See [`IDLE_STEPS`].
        idle_step: usize,
    },
    /// A new connection, after the idle ones are closed.
    CloseIdleFirst,
}

impl IdleConnections {
    /// Decides which connection the next call uses. The network may drop idle connections without notice; calls sent on
    /// them get no response.
    pub(super) fn next(
        &self,
        upstream: &Upstream,
        settings: &Settings,
        now: Millis,
        rng: &mut Rng,
    ) -> NextConnection {
        let idle = now - upstream.idle_since;
        if upstream.connections <= upstream.in_flight || idle >= settings.idle_close {
            return NextConnection::Open { idle_step: 0 };
        }
        let doublings = (idle / FIRST_IDLE_STEP).max(0.5).log2();
        let idle_step = ((doublings + 2.0) as usize).min(IDLE_STEPS - 1);
        let may_be_dropped = (1..=idle_step).any(|step| self.are_dropped(step));
        if may_be_dropped && random_unit(rng) > TRIAL_FRACTION {
            NextConnection::CloseIdleFirst
        } else {
            NextConnection::Open { idle_step }
        }
    }

    /// Whether connections idle for this many steps count as dropped: they lose more calls than new connections.
    pub(crate) fn are_dropped(&self, idle_step: usize) -> bool {
        let loss_rate = self.loss_rates[idle_step];
        loss_rate > DROPPED_LOSS_RATE && loss_rate > 2.0 * self.loss_rates[0]
    }

    /// Records whether a call was lost.
    pub(crate) fn record_call(&mut self, idle_step: usize, lost: bool) {
        let loss_rate = &mut self.loss_rates[idle_step];
        *loss_rate += LOSS_GAIN * (f64::from(u8::from(lost)) - *loss_rate);
    }
}
