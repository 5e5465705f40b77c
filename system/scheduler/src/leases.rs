//! Renews worker leases, and stops or marks as lost the runs on workers that are unresponsive or departing.
//!
//! Under a lease a worker runs its tasks until a deadline on its own clock; when the lease expires it stops them. On
//! the wire a renewal is the worker's `hold` request, a long poll that is replied to when a run completes.
use crate::{
    call_table::CallPurpose,
    calls::{Output, WorkerOrder},
    lease_timing::LeaseTiming,
    run::RunPhase,
    scheduler::Scheduler,
    stalls::{lacks_progress, STALLED_LONG_POLL_MS},
};
use magpiegap_jobs::State;
use magpiegap_protocol::{Command, Millis};

/// Retry interval for renewals of a worker that does not reply.
const RENEWAL_INTERVAL_MS: Millis = 400;

impl Scheduler {
    /// Adapts the duration of long polls and leases to the number of workers that have runs.
    fn adapt_lease_timing(&mut self) {
        let busy = self.table.busy_workers();
        self.lease_timing = LeaseTiming::for_busy_workers(busy);
    }

    pub(crate) fn renew_leases(&mut self, now: Millis) {
        for incarnation in self.table.take_due_renewals(now) {
            self.send_renewal(&incarnation, now);
        }
    }

    fn send_renewal(&mut self, incarnation: &str, now: Millis) {
        let lease_ms = self.lease_timing.lease_ms(self.settings.max_lease_ms);
        let long_poll_ms = self.lease_timing.long_poll_ms();
        let Some(worker) = self.table.workers.get_mut(incarnation) else {
            return;
        };
        // The lease of a worker that does not reply is not extended, so that its runs stop when it expires.
        let grant = worker.has_responded && worker.unanswered_renewals == 0;
        let deadline_ms = worker
            .max_clock(now)
            .filter(|_| grant)
            .map(|clock| clock + lease_ms);
        worker.lease_granted_until = worker.lease_granted_until.max(deadline_ms.unwrap_or(0));
        let stalled = worker.runs.values().any(|run| lacks_progress(run, now));
        let wait_ms = match grant {
            true if stalled => STALLED_LONG_POLL_MS,
            true => long_poll_ms,
            false => 0,
        };
        worker.lease.renew_at = now + RENEWAL_INTERVAL_MS;
        let order = WorkerOrder::RenewLease {
            deadline_ms,
            acknowledged_completion: worker.acknowledged_completion,
            long_poll_ms: wait_ms,
        };
        let id = self.send_call(
            incarnation,
            CallPurpose::LeaseRenewal { wait_ms },
            order,
            wait_ms + self.calls.timeout_ms(),
        );
        if let Some(worker) = self.table.workers.get_mut(incarnation) {
            worker.lease.in_flight = Some(id);
        }
    }

    /// Checks whether a worker that did not reply to an order is responsive, without renewing its lease.
    pub(crate) fn send_health_check(&mut self, incarnation: &str) {
        let Some(worker) = self.table.workers.get(incarnation) else {
            return;
        };
        let order = WorkerOrder::RenewLease {
            deadline_ms: None,
            acknowledged_completion: worker.acknowledged_completion,
            long_poll_ms: 0,
        };
        self.send_call(
            incarnation,
            CallPurpose::HealthCheck,
            order,
            self.calls.timeout_ms(),
        );
    }

    /// Runs the periodic checks of all workers.
    pub(crate) fn check_workers(&mut self, now: Millis, state: &State) {
        self.adapt_lease_timing();
        let incarnations: Vec<String> = self.table.workers.keys().cloned().collect();
        for incarnation in incarnations {
            self.check_worker(&incarnation, now, state);
        }
    }

    fn check_worker(&mut self, incarnation: &str, now: Millis, state: &State) {
        let Some(worker) = self.table.workers.get(incarnation) else {
            return;
        };
        if worker.runs.is_empty() {
            let is_removable = !worker.listed && worker.lease.in_flight.is_none();
            if is_removable && (worker.is_unresponsive() || worker.entry.address.is_empty()) {
                self.remove_worker(incarnation, state);
            }
            return;
        }
        let all_await_commit = worker
            .runs
            .values()
            .all(|run| matches!(run.phase, RunPhase::Proposed | RunPhase::LossProposed));
        let is_unreachable =
            worker.is_unresponsive() || worker.entry.address.is_empty() || !worker.listed;
        if is_unreachable && !all_await_commit && worker.all_leases_expired(now) {
            self.propose_loss_of_expired_runs(incarnation);
            return;
        }
        let has_recovered = worker.has_recovered();
        self.stop_runs_outliving_worker(incarnation, now);
        self.send_orders(incarnation, now, state);
        self.stop_stuck_runs(incarnation, now);
        if has_recovered {
            self.record_recovery(incarnation);
        }
    }

    fn remove_worker(&mut self, incarnation: &str, state: &State) {
        if state.workers.contains_key(incarnation) {
            let incarnation = incarnation.to_owned();
            self.outputs
                .push(Output::Propose(Command::MarkIncarnationLost {
                    incarnation,
                    ended: true,
                }));
        }
        self.table.workers.remove(incarnation);
    }

    /// Stops runs that will not complete before their draining worker departs, so that they are restarted elsewhere in
    /// time.
    fn stop_runs_outliving_worker(&mut self, incarnation: &str, now: Millis) {
        let Some(worker) = self.table.workers.get_mut(incarnation) else {
            return;
        };
        let Some(departs_at) = worker.departs_at.filter(|_| worker.draining) else {
            return;
        };
        let remaining_ms = departs_at.saturating_sub(now);
        let mut any_stopped = false;
        for run in worker.runs.values_mut() {
            if run.is_started_and_not_stopping()
                && (run.long_running || run.remaining_ms(now) > remaining_ms)
            {
                run.next_stop_at = Some(now);
                any_stopped = true;
            }
        }
        if any_stopped {
            self.table.mark_order_due(incarnation);
        }
    }
}
