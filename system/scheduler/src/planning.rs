//! Decides which waiting tasks are started where.
use crate::{
    backfill::Candidate,
    calls::Output,
    capacity_index::CapacityIndex,
    forecast::DeadlineForecast,
    placement::{choose, Demand, Pool},
    preemption::{choose_victims, Victims},
    queue::{urgency, Urgency, Waiting, URGENT_PRIORITY},
    run::{Run, RunPhase},
    scheduler::Scheduler,
    worker::Workers,
};
use magpiegap_jobs::{startable, Job, Startable, State};
use magpiegap_protocol::{Command, Millis, RunStart, StepSpec, Submission, TaskId, WallMillis};
use std::collections::HashSet;

/// After this many tasks that found no place, the most urgent part of a round of planning ends ...
const MAX_URGENT_MISSES: usize = 40;
/// ... and after this many more the part that goes on from where the last round ended, so that all have their turn.
const MAX_RESUMED_MISSES: usize = 20;
/// A task waits for its data's rack for at most this part of the time that being away would cost.
const MAX_LOCALITY_WAIT: f64 = 0.6;
/// An urgent task that has found no room for this long may have less urgent runs stopped for it.
const PREEMPT_AFTER_MS: Millis = 100;
/// Searches for runs to stop that may find none in one round: each looks at all workers.
const MAX_FAILED_PREEMPTIONS: usize = 3;
/// At most one in this many workers is kept free at a time for those that others were stopped for.
const WORKERS_PER_PREEMPTION: usize = 12;

/// How much longer than the settings say the status of a completed job is retained, in milliseconds.
const STATUS_MARGIN_MS: u64 = 30_000;

/// Kinds of work that found no place in a round; the same or more finds none either.
#[derive(Default)]
struct Misses {
    shapes: Vec<StepSpec>,
}

/// A task or gang as a round of planning finds it waiting.
struct QueuedUnit {
    key: Urgency,
    unit: Startable,
    since: Millis,
}

/// What a round of planning has come to so far.
#[derive(Default)]
struct PlanningRound {
    runs: Vec<RunStart>,
    misses: Misses,
    /// The workers as they were when it began.
    capacity: CapacityIndex,
    /// Searches for less urgent runs to stop that found none.
    failed_preemptions: usize,
}

impl Misses {
    fn covers(&self, step: &StepSpec) -> bool {
        let covers = |shape: &StepSpec| {
            shape.resources.fits(&step.resources)
                && shape.requirements == step.requirements
                && shape.affinity == step.affinity
                && shape.estimated_ms <= step.estimated_ms
                && shape.anti_affinity == 0
                && !shape.gang
        };
        self.shapes.iter().any(covers)
    }

    /// Notes a task that found no place. Where no worker had room at all, shorter tasks find none either; else what
    /// was promised to others kept it out, which shorter ones may not delay.
    fn add(&mut self, step: &StepSpec, any_room: bool) {
        let estimated_ms = if any_room { step.estimated_ms } else { 0 };
        self.shapes.push(StepSpec {
            estimated_ms,
            ..step.clone()
        });
    }
}

impl Scheduler {
    /// A command that accepts a job, and starts its first tasks if there is room and nothing more urgent waits.
    pub fn submit(&mut self, now: Millis, submission: Submission) -> Command {
        let job = Job::new(submission.clone());
        let mut runs = Vec::new();
        for unit in startable(&job) {
            let urgency = urgency(&job, unit.first, submission.submitted_ms);
            if self.queue.first().is_some_and(|first| *first < urgency) {
                break;
            }
            if let Some(mut placed) = self.place(&job, &unit, &urgency, 0, None, now) {
                runs.append(&mut placed);
            }
        }
        Command::SubmitJob {
            submission: Box::new(submission),
            runs,
        }
    }

    /// Places what waits, most urgent first. Where much waits in vain, a round does not look at all of it: it goes on
    /// where the last one ended.
    pub(crate) fn plan(&mut self, now: Millis, state: &State) {
        let queued_unit = |(key, waiting): (&Urgency, &Waiting)| QueuedUnit {
            key: *key,
            unit: waiting.unit.clone(),
            since: waiting.since,
        };
        let queued: Vec<QueuedUnit> = self.queue.iter().map(queued_unit).collect();
        let owners: HashSet<TaskId> = queued.iter().map(|waiting| waiting.key.task).collect();
        self.nominations.review(&owners, &self.workers, now);
        self.backfill.begin_planning_round(now);
        if queued.is_empty() {
            return;
        }
        let mut round = PlanningRound {
            capacity: CapacityIndex::of(&self.workers, now),
            ..PlanningRound::default()
        };
        let urgent = self.plan_units(&queued, MAX_URGENT_MISSES, &mut round, now, state);
        if urgent < queued.len() {
            let next = self.planning.cursor.map_or(urgent, |next| {
                queued.partition_point(|waiting| waiting.key < next)
            });
            let from = if next >= queued.len() {
                urgent
            } else {
                next.max(urgent)
            };
            let max_misses = round.misses.shapes.len() + MAX_RESUMED_MISSES;
            let until = from + self.plan_units(&queued[from..], max_misses, &mut round, now, state);
            self.planning.cursor = queued.get(until).map(|waiting| waiting.key);
        }
        if !round.runs.is_empty() {
            self.outputs
                .push(Output::Propose(Command::StartRuns { runs: round.runs }));
        }
    }

    /// Places some of those in line, until so many in all have found no place. Returns how many it has looked at.
    fn plan_units(
        &mut self,
        queued: &[QueuedUnit],
        max_misses: usize,
        round: &mut PlanningRound,
        now: Millis,
        state: &State,
    ) -> usize {
        for (position, waiting) in queued.iter().enumerate() {
            if round.misses.shapes.len() >= max_misses {
                return position;
            }
            self.plan_unit(waiting, round, now, state);
        }
        queued.len()
    }

    fn plan_unit(
        &mut self,
        waiting: &QueuedUnit,
        round: &mut PlanningRound,
        now: Millis,
        state: &State,
    ) {
        let QueuedUnit { key, unit, since } = waiting;
        let Some(job) = state.jobs.get(&key.task.job) else {
            return;
        };
        let Some(step) = job.submission.spec.steps.get(key.task.step as usize) else {
            return;
        };
        let waited = now.saturating_sub(*since);
        if round.misses.covers(step) {
            self.reserve_capacity(job, unit, step, key, waited, now);
            return;
        }
        match self.place(job, unit, key, waited, Some(&round.capacity), now) {
            Some(mut placed) => {
                self.queue.take(key);
                self.backfill.release(key);
                round.runs.append(&mut placed);
            }
            None => {
                round.misses.add(
                    step,
                    any_worker_has_capacity(&self.workers, &round.capacity, step, now),
                );
                self.reserve_capacity(job, unit, step, key, waited, now);
                if round.failed_preemptions < MAX_FAILED_PREEMPTIONS {
                    let found_none = self.preempt(key, unit, step, waited, now);
                    round.failed_preemptions += usize::from(found_none);
                }
            }
        }
    }

    /// Finds places for a task or gang and takes up the room there; in a round of planning among those that had room when
    /// it began.
    fn place(
        &mut self,
        job: &Job,
        unit: &Startable,
        urgency: &Urgency,
        waited: Millis,
        capacity: Option<&CapacityIndex>,
        now: Millis,
    ) -> Option<Vec<RunStart>> {
        let step = job.submission.spec.steps.get(unit.first.step as usize)?;
        let nothing = Vec::new();
        let demand = Demand {
            first: unit.first,
            require_locality: self.waits_for_locality(step, waited),
            nominations: &self.nominations,
            backfill: &self.backfill,
            candidate: self.candidate(job, unit, step, urgency),
            avoid: self.failed_on.get(&unit.first).unwrap_or(&nothing),
            pool: capacity.map_or(Pool::All(&self.worker_names), Pool::WithCapacity),
        };
        let chosen = choose(&self.workers, &demand, now, &mut self.random)?;
        let runs = starts(job, unit, step, chosen);
        for start in &runs {
            self.reserve(job, step, start, now);
        }
        Some(runs)
    }

    /// Whether a task waits on for the rack that holds its data, or a gang for one rack that takes all of it.
    fn waits_for_locality(&self, step: &StepSpec, waited: Millis) -> bool {
        (waited as f64)
            < step.estimated_ms as f64 * (self.settings.far_factor - 1.0) * MAX_LOCALITY_WAIT
    }

    pub(crate) fn candidate<'a>(
        &self,
        job: &Job,
        unit: &Startable,
        step: &'a StepSpec,
        urgency: &'a Urgency,
    ) -> Candidate<'a> {
        Candidate {
            step,
            urgency,
            count: unit.count,
            far_factor: self.settings.far_factor,
            long_running: job.submission.spec.long_running,
        }
    }

    /// Promises a task that found no place the room that it gets first, unless it comes too late anyway, or waits for
    /// one rack to take a whole gang.
    fn reserve_capacity(
        &mut self,
        job: &Job,
        unit: &Startable,
        step: &StepSpec,
        key: &Urgency,
        waited: Millis,
        now: Millis,
    ) {
        let for_rack = unit.count > 1 && step.rack_local && self.waits_for_locality(step, waited);
        if key.forecast == DeadlineForecast::TooLate || for_rack || !self.backfill.accepts_more() {
            return;
        }
        let candidate = self.candidate(job, unit, step, key);
        self.backfill.reserve(&self.workers, &candidate, now);
    }

    /// Stops less urgent runs for a task that has found no room, where that is worth what it loses. Returns whether such
    /// were looked for in vain.
    fn preempt(
        &mut self,
        key: &Urgency,
        unit: &Startable,
        step: &StepSpec,
        waited: Millis,
        now: Millis,
    ) -> bool {
        let urgent = key.priority == URGENT_PRIORITY && key.forecast == DeadlineForecast::OnTime;
        let is_eligible = unit.count == 1 && urgent && waited >= PREEMPT_AFTER_MS;
        let max_nominations = self.workers.len().div_ceil(WORKERS_PER_PREEMPTION);
        if !is_eligible
            || self.nominations.has(&unit.first)
            || self.nominations.len() >= max_nominations
        {
            return false;
        }
        let victims = choose_victims(
            &self.workers,
            &self.nominations,
            &unit.first,
            step,
            key.priority,
            now,
        );
        let Some(Victims { incarnation, tasks }) = victims else {
            return true;
        };
        if let Some(worker) = self.workers.get_mut(&incarnation) {
            for task in tasks {
                if let Some(run) = worker.runs.get_mut(&task) {
                    run.next_stop_at = Some(now);
                }
            }
        }
        self.workers_with_orders.insert(incarnation.clone());
        self.nominations.add(incarnation, unit.first, now);
        false
    }

    fn reserve(&mut self, job: &Job, step: &StepSpec, start: &RunStart, now: Millis) {
        let Some(worker) = self.workers.get_mut(&start.incarnation) else {
            return;
        };
        worker.add_run(
            start.task,
            Run::new(job, step, start, RunPhase::Proposed, now),
        );
        self.proposed.insert(start.task);
        self.lease_schedule.mark_updated(&start.incarnation);
    }

    /// Proposes the occurrences of repeated jobs that are due.
    pub(crate) fn open_due_occurrences(&mut self, wall: WallMillis, state: &State) {
        for due in self.job_calendar.take_due(wall, state) {
            self.outputs.push(Output::Propose(Command::OpenOccurrence {
                job: due.job,
                occurrence: due.number,
            }));
        }
    }

    /// Proposes to remove completed jobs whose status need not be shown any more.
    pub(crate) fn forget_completed_jobs(&mut self, wall: WallMillis) {
        let before = wall.saturating_sub(self.settings.status_ms + STATUS_MARGIN_MS);
        let jobs = self.job_calendar.take_completed_before(before);
        if !jobs.is_empty() {
            self.outputs
                .push(Output::Propose(Command::ForgetJobs { jobs }));
        }
    }
}

/// Whether any worker that takes work has room for one task of a step, whatever was promised to others.
fn any_worker_has_capacity(
    workers: &Workers,
    capacity: &CapacityIndex,
    step: &StepSpec,
    now: Millis,
) -> bool {
    capacity
        .with_capacity(workers, step.resources.cpu)
        .any(|worker| {
            worker.has_capacity_for(&step.resources)
                && worker.is_schedulable(now)
                && worker.has_labels(&step.requirements)
        })
}

/// The runs of a unit on the workers chosen for it.
fn starts(job: &Job, unit: &Startable, step: &StepSpec, chosen: Vec<String>) -> Vec<RunStart> {
    let tasks = || unit.tasks().filter_map(|task| job.task(&task));
    let run = tasks().map(|task| task.last_run).max().unwrap_or(0) + 1;
    // Members of a gang all go on from the same checkpoint; any member's will do.
    let shared = tasks()
        .map(|task| task.checkpoint.as_str())
        .max()
        .unwrap_or("")
        .to_owned();
    let start = |(task, incarnation)| RunStart {
        task,
        run,
        incarnation,
        checkpoint: if step.checkpoints {
            shared.clone()
        } else {
            String::new()
        },
    };
    unit.tasks().zip(chosen).map(start).collect()
}
