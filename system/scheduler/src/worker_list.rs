//! Follows the platform's list of workers: lives that begin, drain and end.
use crate::{calls::Output, scheduler::Scheduler, worker::Worker};
use magpiegap_jobs::State;
use magpiegap_protocol::{Availability, Command, Millis, RunStart, TaskId, WorkerEntry};
use std::collections::{HashMap, HashSet};

impl Scheduler {
    /// Takes the platform's list.
    pub fn list(&mut self, now: Millis, state: &State, entries: &[WorkerEntry]) {
        let own: Vec<&WorkerEntry> = entries
            .iter()
            .filter(|entry| entry.service == self.service)
            .collect();
        let listed: HashSet<&str> = own.iter().map(|entry| entry.instance.as_str()).collect();
        let addresses: HashMap<&str, &str> = own
            .iter()
            .map(|entry| (entry.address.as_str(), entry.instance.as_str()))
            .collect();
        let mut over = Vec::new();
        for (instance, worker) in &mut self.workers {
            if listed.contains(instance.as_str()) {
                continue;
            }
            worker.listed = false;
            let successor = addresses.get(worker.entry.address.as_str());
            if successor.is_some_and(|other| other != instance) {
                over.push(instance.clone());
            }
        }
        for instance in over {
            self.life_is_over(&instance, state);
        }
        for entry in own {
            self.list_one(entry, now, state);
        }
    }

    fn list_one(&mut self, entry: &WorkerEntry, now: Millis, state: &State) {
        self.hold_news.insert(entry.instance.clone());
        let draining = entry.availability == Availability::Draining;
        if let Some(worker) = self.workers.get_mut(&entry.instance) {
            let news = !worker.listed
                || worker.entry.address != entry.address
                || worker.draining != draining;
            worker.entry = entry.clone();
            worker.listed = true;
            worker.draining = draining;
            worker.gone_at = entry.remaining_ms.map(|left| now + left);
            self.replan |= news;
            return;
        }
        let mut worker = Worker::new(entry.clone(), now, self.others_lapse_at());
        if let Some(record) = state.workers.get(&entry.instance) {
            worker.last_seen = record.last_seen;
            worker.proposed_seen = record.last_seen;
        }
        self.workers.insert(entry.instance.clone(), worker);
        self.replan = true;
    }

    /// A worker's life is surely over.
    pub(crate) fn life_is_over(&mut self, instance: &str, state: &State) {
        let Some(worker) = self.workers.get_mut(instance) else {
            return;
        };
        worker.listed = false;
        let lost = lost_runs(worker);
        if state.workers.contains_key(instance) {
            self.out
                .push(Output::Propose(Command::LoseRuns { runs: lost }));
            let instance = instance.to_owned();
            self.out.push(Output::Propose(Command::LoseInstance {
                instance,
                ended: true,
            }));
        }
        self.workers.remove(instance);
        self.replan = true;
    }
}

/// A worker's recorded runs, with the newest checkpoints that it has listed.
pub(crate) fn lost_runs(worker: &Worker) -> Vec<RunStart> {
    let lost = |(task, run): (&TaskId, &crate::worker::Run)| RunStart {
        task: *task,
        run: run.run,
        instance: worker.entry.instance.clone(),
        checkpoint: run.saved.clone(),
    };
    worker.runs.iter().map(lost).collect()
}
