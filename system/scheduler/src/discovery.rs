//! Handles the platform's list of workers: incarnations that start, drain and end.
use crate::{calls::Output, scheduler::Scheduler, worker::Worker};
use magpiegap_jobs::State;
use magpiegap_protocol::{Availability, Command, Millis, WorkerEntry};
use std::collections::{HashMap, HashSet};

impl Scheduler {
    /// Handles the platform's complete list; workers missing from it have departed.
    pub fn handle_worker_list(&mut self, now: Millis, state: &State, entries: &[WorkerEntry]) {
        let own_entries: Vec<&WorkerEntry> = entries
            .iter()
            .filter(|entry| entry.service == self.service)
            .collect();
        let listed: HashSet<&str> = own_entries
            .iter()
            .map(|entry| entry.incarnation.as_str())
            .collect();
        let addresses: HashMap<&str, &str> = own_entries
            .iter()
            .map(|entry| (entry.address.as_str(), entry.incarnation.as_str()))
            .collect();
        let mut ended = Vec::new();
        for (incarnation, worker) in &mut self.table.workers {
            if listed.contains(incarnation.as_str()) {
                continue;
            }
            worker.listed = false;
            let successor = addresses.get(worker.entry.address.as_str());
            if successor.is_some_and(|other| other != incarnation) {
                ended.push(incarnation.clone());
            }
        }
        for incarnation in ended {
            self.end_incarnation(&incarnation, state);
        }
        for entry in own_entries {
            self.refresh_worker(entry, now, state);
        }
        self.planner.locality.refresh(&self.table.workers);
    }

    fn refresh_worker(&mut self, entry: &WorkerEntry, now: Millis, state: &State) {
        self.table.lease_schedule.mark_updated(&entry.incarnation);
        let draining = entry.availability == Availability::Draining;
        if let Some(worker) = self.table.workers.get_mut(&entry.incarnation) {
            let has_changed = !worker.listed
                || worker.entry.address != entry.address
                || worker.draining != draining;
            worker.entry = entry.clone();
            worker.listed = true;
            worker.draining = draining;
            worker.departs_at = entry.remaining_ms.map(|remaining_ms| now + remaining_ms);
            if has_changed {
                self.planner.request_round();
            }
            return;
        }
        let mut worker = Worker::new(entry.clone(), now, self.previous_leases_expire_at());
        if let Some(record) = state.workers.get(&entry.incarnation) {
            worker.acknowledged_completion = record.acknowledged_completion;
            worker.proposed_completion = record.acknowledged_completion;
        }
        self.table.workers.insert(entry.incarnation.clone(), worker);
        self.planner.request_round();
    }

    /// Removes an incarnation that is known to have ended and proposes the loss of its runs.
    pub(crate) fn end_incarnation(&mut self, incarnation: &str, state: &State) {
        let Some(worker) = self.table.workers.get_mut(incarnation) else {
            return;
        };
        worker.listed = false;
        let lost = worker.lost_runs();
        if state.workers.contains_key(incarnation) {
            self.outputs
                .push(Output::Propose(Command::MarkRunsLost { runs: lost }));
            let incarnation = incarnation.to_owned();
            self.outputs
                .push(Output::Propose(Command::MarkIncarnationLost {
                    incarnation,
                    ended: true,
                }));
        }
        self.table.workers.remove(incarnation);
        self.planner.request_round();
    }
}
