//! Gangs: their members start work together and end together. Coordinates members on different workers.
use super::{find_step, Fleet};
use crate::worker::{first_task_of_step, GangMember};
use magpiegap_protocol::{RunId, TaskId};
use std::collections::BTreeMap;

/// Maximum time that gang members wait for each other, in milliseconds.
const GANG_TIMEOUT_MS: u64 = 3000;

/// One run of a gang.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GangRun {
    first_task: TaskId,
    run: RunId,
}

/// A gang member and the worker that it runs on.
#[derive(Clone, Copy)]
struct PlacedMember {
    worker: usize,
    member: GangMember,
}

impl Fleet {
    /// Starts the work of complete gangs, and ends the members of broken gangs.
    pub(super) fn run_gangs(&mut self) {
        for (gang, members) in self.gangs() {
            let Some(step) = find_step(&self.specs, &gang.first_task) else {
                continue;
            };
            let is_complete = members.len() == step.count as usize;
            let is_working = members.iter().any(|placed| placed.member.is_working);
            for PlacedMember { worker, member } in members {
                let Some(worker) = self.workers[worker].as_mut() else {
                    continue;
                };
                if !is_complete {
                    worker.end_incomplete_gang(self.now, member.task, GANG_TIMEOUT_MS);
                } else if !is_working {
                    worker.begin_gang_work(self.now, member.task);
                }
            }
        }
    }

    /// The gangs with members on workers.
    fn gangs(&self) -> BTreeMap<GangRun, Vec<PlacedMember>> {
        let mut gangs: BTreeMap<GangRun, Vec<PlacedMember>> = BTreeMap::new();
        for (number, worker) in self.workers.iter().enumerate() {
            for member in worker.iter().flat_map(|worker| worker.gang_members()) {
                let gang = GangRun {
                    first_task: first_task_of_step(member.task),
                    run: member.run,
                };
                gangs.entry(gang).or_default().push(PlacedMember {
                    worker: number,
                    member,
                });
            }
        }
        gangs
    }
}
