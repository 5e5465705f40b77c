//! Gangs: their members work only together, and end together. Members on several workers are brought together here.
use super::{find_step, Fleet};
use crate::worker::{first_of_step, GangMember};
use magpiegap_protocol::{RunId, TaskId};
use std::collections::BTreeMap;

/// The longest time that members of a gang wait for each other, in milliseconds.
const GANG_TIMEOUT_MS: u64 = 3000;

/// One run of a gang.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GangRun {
    first_task: TaskId,
    run: RunId,
}

/// A member of a gang, and the worker that it is on.
#[derive(Clone, Copy)]
struct PlacedMember {
    worker: usize,
    member: GangMember,
}

impl Fleet {
    /// Lets members of gangs begin, wait and end.
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

    /// The gangs that have members on workers.
    fn gangs(&self) -> BTreeMap<GangRun, Vec<PlacedMember>> {
        let mut gangs: BTreeMap<GangRun, Vec<PlacedMember>> = BTreeMap::new();
        for (number, worker) in self.workers.iter().enumerate() {
            for member in worker.iter().flat_map(|worker| worker.gang_members()) {
                let gang = GangRun {
                    first_task: first_of_step(member.task),
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
