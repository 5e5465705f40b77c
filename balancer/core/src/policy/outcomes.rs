//! Handles the outcomes of attempts: learns from them and decides whether requests are retried.
use super::{
    capacity::{lateness, MAX_LATENESS},
    ejection::CallEnd,
};
use crate::{interface::*, state::*};

impl Balancer {
    /// Records the outcome of an attempt, and retries its request or gives it up if needed.
    pub(super) fn handle_outcome(
        &mut self,
        now: Millis,
        outcome: &AttemptOutcome,
        actions: &mut Actions,
    ) {
        let id = outcome.request;
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let is_same = |attempt: &mut InFlightAttempt| attempt.number == outcome.attempt;
        let Some(attempt) = pending.in_flight.take_if(is_same) else {
            return;
        };
        // If upstreams may also reject requests that they have started, a rejection proves nothing.
        let rejection_proves_nothing =
            outcome.ending == Ending::Rejected && self.settings.late_shedding;
        let never_ran = outcome.ending.never_ran() && !rejection_proves_nothing;
        let is_first_run = |run: &mut PossibleRun| run.attempt == outcome.attempt;
        if never_ran {
            pending.first_run.take_if(is_first_run);
        }
        let over = pending.abandoned || outcome.closed;
        let (class, tenant) = (pending.class, pending.tenant);
        self.admission.in_flight -= 1.0;
        self.meter.on_attempt_end(tenant, now);
        self.load_shedding
            .record_outcome(class, outcome.ending, outcome.duration);
        self.learn_from(now, class, &attempt, outcome);
        if over {
            self.pending.remove(&id);
        } else if outcome.ending != Ending::Ok && self.may_retry(now) && self.send(now, id, actions)
        {
            self.retry_budget -= 1.0;
        } else {
            self.give_up(id, now, actions);
        }
    }

    /// Updates the upstream's health and the capacity from a completed call.
    fn learn_from(
        &mut self,
        now: Millis,
        class: usize,
        attempt: &InFlightAttempt,
        outcome: &AttemptOutcome,
    ) {
        let objective = self.settings.classes[class].objective;
        let call = CallEnd {
            slot: attempt.slot,
            idle_step: attempt.idle_step,
            ending: outcome.ending,
            duration: outcome.duration,
            relative: outcome.duration.max(1.0) / objective,
        };
        let at_fault = self
            .fleet
            .on_call_end(&call, now, &self.tier, &mut self.rng);
        self.fleet.free_if_removed(attempt.slot);
        let connections = &self.fleet.idle_connections;
        match outcome.ending {
            Ending::Ok => {
                let lateness = lateness(outcome.duration / objective);
                self.capacity.record_lateness(lateness);
            }
            Ending::Cancelled | Ending::NotSent => {}
            // Failures caused by a single upstream or connection do not reduce capacity.
            _ if at_fault || connections.are_dropped(attempt.idle_step) => {}
            _ => self.capacity.record_lateness(MAX_LATENESS),
        }
    }
}
