//! Learns how often calls are lost on connections that were idle, and decides whether these are closed.
use crate::{interface::*, state::*};

/// Idle connections are judged by how long they were idle, in steps that double from this.
const FIRST_STEP: Millis = 125.0;
/// Smoothing of the part of calls that got no response.
const LOSS_GAIN: f64 = 0.1;
/// The part of calls lost from which idle connections count as dropped.
const DROPPED_LOSS_RATE: f64 = 0.2;
/// The part of calls that still tries connections that count as dropped.
const TRIAL_PART: f64 = 0.02;

/// Which connection the next call takes.
pub(super) enum NextConnection {
    /// One that may have been idle for so many steps; zero: a new one.
    Open {
        /// See [`IDLE_STEPS`].
        idle_step: usize,
    },
    /// A new one, after those that are idle are closed.
    CloseIdleFirst,
}

impl IdleConnections {
    /// Decides which connection the next call takes. Idle ones may be dropped on the way, unseen: what is sent on one
    /// gets no response.
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
        let doublings = (idle / FIRST_STEP).max(0.5).log2();
        let idle_step = ((doublings + 2.0) as usize).min(IDLE_STEPS - 1);
        let may_be_dropped = (1..=idle_step).any(|step| self.are_dropped(step));
        if may_be_dropped && random_unit(rng) > TRIAL_PART {
            NextConnection::CloseIdleFirst
        } else {
            NextConnection::Open { idle_step }
        }
    }

    /// Whether connections idle for so many steps get dropped: calls on them are lost more than on new ones.
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
