//! Gangs: their members work only together, and end together.
use crate::fleet::{Fleet, GANG_MS};
use magpiegap_protocol::{RunId, TaskId};
use std::collections::BTreeMap;

/// One run of a gang: its step, named by the first task, and the run.
type GangRun = (TaskId, RunId);

/// A member of a gang that is there.
#[derive(Clone, Copy, Debug)]
struct Member {
    worker: usize,
    task: TaskId,
    works: bool,
}

impl Fleet {
    /// Lets members of gangs begin, wait and part.
    pub(crate) fn pass_time_of_gangs(&mut self) {
        for ((step, _), members) in self.gang_members() {
            let spec = self
                .specs
                .get(&step.job)
                .and_then(|spec| spec.steps.get(step.step as usize));
            let Some(count) = spec.map(|spec| spec.count as usize) else {
                continue;
            };
            let complete = members.len() == count;
            let begun = members.iter().any(|member| member.works);
            for member in members {
                let Some(worker) = self.workers[member.worker].as_mut() else {
                    continue;
                };
                match complete {
                    true if !begun => worker.begin_together(self.now, member.task),
                    true => {}
                    false => worker.part(self.now, member.task, GANG_MS),
                }
            }
        }
    }

    fn gang_members(&self) -> BTreeMap<GangRun, Vec<Member>> {
        let mut gangs: BTreeMap<GangRun, Vec<Member>> = BTreeMap::new();
        for (worker, life) in self.workers.iter().enumerate() {
            for (task, run, works) in life.iter().flat_map(|life| life.gangs()) {
                let step = TaskId { index: 0, ..task };
                gangs.entry((step, run)).or_default().push(Member {
                    worker,
                    task,
                    works,
                });
            }
        }
        gangs
    }
}
