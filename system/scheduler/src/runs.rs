//! Keeps the runs on the workers in step with the log, and stops those that are not wanted any more.
use crate::{
    calls::{Output, WorkerOrder},
    discovery::lost_runs,
    planning::new_run,
    scheduler::{CallPurpose, Scheduler},
    worker::{RunPhase, Worker},
};
use magpiegap_jobs::{Change, Job, State};
use magpiegap_protocol::{
    Command, CompletionKind, JobId, LogPosition, Millis, RunId, RunStart, TaskId, WorkerEntry,
};

/// How long a start is valid, on the worker's clock.
const START_VALID_MS: u64 = 1500;
/// Time between two orders to stop the same run.
const STOP_RETRY_MS: Millis = 300;
/// A start that was not answered this often is given up.
const MAX_START_ATTEMPTS: u32 = 8;

impl Scheduler {
    /// Takes note of an entry that was applied; `own_runs` are the runs in it that this scheduler proposed. What the
    /// entry has changed is known already if the state was taken up after it.
    pub fn applied(
        &mut self,
        now: Millis,
        entry: LogPosition,
        state: &State,
        changes: &[Change],
        own_runs: &[RunStart],
    ) {
        if entry.index <= self.snapshot_position.index {
            return;
        }
        for change in changes {
            self.apply_change(change, now, state);
        }
        for start in own_runs {
            self.release_refused_proposal(start);
        }
        for id in own_runs.iter().map(|start| start.task.job) {
            if state
                .jobs
                .get(&id)
                .is_some_and(|job| !job.phase.is_terminal())
            {
                self.refresh_queue(id, now, state);
            }
        }
    }

    fn apply_change(&mut self, change: &Change, now: Millis, state: &State) {
        match change {
            Change::RunOpened(start) => self.handle_run_opened(start, now, state),
            Change::RunClosed {
                task,
                run,
                incarnation,
                kind,
            } => self.handle_run_closed(*task, *run, incarnation, *kind, now),
            Change::Job(id) => self.review_job(*id, now, state),
            Change::JobForgotten(id) => {
                self.queue.remove(*id);
                self.completed_jobs.retain(|(_, other)| other != id);
                self.failed_on.retain(|task, _| task.job != *id);
            }
            Change::CompletionsRecorded {
                incarnation,
                last_seen,
            } => {
                if let Some(worker) = self.workers.get_mut(incarnation) {
                    worker.acknowledged_completion = *last_seen;
                    worker.proposed_completion = worker.proposed_completion.max(*last_seen);
                    worker.lease.renew_at = now;
                    self.lease_updates.insert(incarnation.clone());
                }
            }
            Change::Configuration | Change::Role(_) => {}
        }
    }

    fn handle_run_opened(&mut self, start: &RunStart, now: Millis, state: &State) {
        self.proposed.remove(&start.task);
        if let Some(worker) = self.workers.get_mut(&start.incarnation) {
            if let Some(run) = worker
                .runs
                .get_mut(&start.task)
                .filter(|run| run.run == start.run)
            {
                // In any other phase its start may have been sent, by this or by an earlier holder of the role.
                if run.phase == RunPhase::Proposed {
                    run.phase = RunPhase::Recorded { not_before: now };
                    run.last_reply_at = now;
                    worker.lease.renew_at = worker.lease.renew_at.min(now);
                    self.workers_with_orders.insert(start.incarnation.clone());
                    self.lease_updates.insert(start.incarnation.clone());
                }
                return;
            }
        }
        self.adopt_run(&start.incarnation, start.task, start.run, now, state);
    }

    /// Takes up a run of the log that this scheduler has not proposed since it holds its role.
    pub(crate) fn adopt_run(
        &mut self,
        incarnation: &str,
        task: TaskId,
        run: RunId,
        now: Millis,
        state: &State,
    ) {
        let Some(job) = state.jobs.get(&task.job) else {
            return;
        };
        if job.submission.service != self.service {
            return;
        }
        let Some(step) = job.submission.spec.steps.get(task.step as usize) else {
            return;
        };
        let lapse_at = self.previous_leases_expire_at();
        self.lease_updates.insert(incarnation.to_owned());
        let worker = self
            .workers
            .entry(incarnation.to_owned())
            .or_insert_with(|| {
                let entry = WorkerEntry {
                    incarnation: incarnation.to_owned(),
                    ..WorkerEntry::default()
                };
                let mut worker = Worker::new(entry, now, lapse_at);
                worker.listed = false;
                worker
            });
        if let Some(known) = worker.runs.get_mut(&task).filter(|known| known.run == run) {
            // It was proposed before the view changed and is in the log now: its start was never sent.
            if known.phase == RunPhase::Proposed {
                known.phase = RunPhase::Recorded { not_before: now };
                self.workers_with_orders.insert(incarnation.to_owned());
            }
            // It was to be taken off the record, and was not: the next listing decides anew.
            if known.phase == RunPhase::LossProposed {
                known.phase = RunPhase::Started;
                known.last_reply_at = now;
            }
            return;
        }
        let active = job
            .task(&task)
            .and_then(|state| state.active.iter().find(|active| active.run == run));
        let checkpoint = active
            .map(|active| active.checkpoint.clone())
            .unwrap_or_default();
        let start = RunStart {
            task,
            run,
            incarnation: incarnation.to_owned(),
            checkpoint,
        };
        worker.add_run(task, new_run(job, step, &start, RunPhase::Started, now));
    }

    fn handle_run_closed(
        &mut self,
        task: TaskId,
        run: RunId,
        incarnation: &str,
        kind: Option<CompletionKind>,
        now: Millis,
    ) {
        self.needs_planning = true;
        if let Some(ended @ (CompletionKind::Done | CompletionKind::Failed)) = kind {
            self.failure_rate.note(ended == CompletionKind::Failed);
        }
        let failures_to_eject = self.failure_rate.failures_to_eject();
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let known = worker.remove_run(&task, run);
        match kind {
            Some(CompletionKind::Done) => worker.health.succeeded(),
            Some(CompletionKind::Failed) => {
                let failed_on = self.failed_on.entry(task).or_default();
                // A task that has failed elsewhere too may be the one at fault.
                let elsewhere = failed_on.iter().any(|other| other != incarnation);
                if !failed_on.iter().any(|other| other == incarnation) {
                    failed_on.push(incarnation.to_owned());
                }
                if known.is_some()
                    && !elsewhere
                    && worker.health.failed(task.job, failures_to_eject, now)
                {
                    self.unreported_ejections.insert(incarnation.to_owned());
                }
            }
            _ => {}
        }
    }

    /// Releases the room of a run that was proposed and refused.
    fn release_refused_proposal(&mut self, start: &RunStart) {
        self.proposed.remove(&start.task);
        let Some(worker) = self.workers.get_mut(&start.incarnation) else {
            return;
        };
        let refused = worker
            .runs
            .get(&start.task)
            .is_some_and(|run| run.run == start.run && run.phase == RunPhase::Proposed);
        if refused {
            worker.remove_run(&start.task, start.run);
            self.needs_planning = true;
        }
    }

    /// Takes up what a job needs now.
    pub(crate) fn review_job(&mut self, id: JobId, now: Millis, state: &State) {
        let Some(job) = state.jobs.get(&id) else {
            return;
        };
        if job.submission.service != self.service {
            return;
        }
        if job.phase.is_terminal() {
            self.queue.remove(id);
            self.completed_jobs.insert((job.completed_ms, id));
            self.scheduled_jobs.retain(|(_, other)| *other != id);
        } else {
            self.refresh_schedule(job);
            self.refresh_queue(id, now, state);
        }
        self.stop_unneeded_runs(job, now);
    }

    fn refresh_schedule(&mut self, job: &Job) {
        let id = job.submission.job;
        if job.submission.spec.repeat_count == 0 {
            return;
        }
        self.scheduled_jobs.retain(|(_, other)| *other != id);
        if job.next_occurrence < job.submission.spec.occurrences() {
            if let Some(at) = job.submission.spec.scheduled_ms(job.next_occurrence) {
                self.scheduled_jobs.insert((at, id));
            }
        }
    }

    pub(crate) fn refresh_queue(&mut self, id: JobId, now: Millis, state: &State) {
        let Some(job) = state.jobs.get(&id) else {
            return;
        };
        let proposed = &self.proposed;
        self.queue
            .refresh(job, now, self.wall, |task| proposed.contains(task));
        self.needs_planning = true;
    }

    /// Marks the runs of a job that are not wanted any more: of an ended job, of tasks that are done, and of gangs
    /// that have lost a member.
    fn stop_unneeded_runs(&mut self, job: &Job, now: Millis) {
        for occurrence in job.occurrences.values() {
            for (position, step) in occurrence.steps.iter().enumerate() {
                let gang = job
                    .submission
                    .spec
                    .steps
                    .get(position)
                    .is_some_and(|spec| spec.gang);
                let whole = |run: RunId| {
                    step.tasks
                        .iter()
                        .all(|task| task.active.iter().any(|a| a.run == run))
                };
                for (index, task) in step.tasks.iter().enumerate() {
                    for active in &task.active {
                        // Where a gang is done its members end by themselves.
                        let broken = gang && !step.is_done() && !whole(active.run);
                        let over = task.done && !gang;
                        if job.phase.is_terminal() || broken || over {
                            let id = job.submission.job;
                            self.request_stop(
                                &active.incarnation,
                                id,
                                position,
                                index,
                                active.run,
                                now,
                            );
                        }
                    }
                }
            }
        }
    }

    fn request_stop(
        &mut self,
        incarnation: &str,
        job: JobId,
        step: usize,
        index: usize,
        run: RunId,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let wanted = worker.runs.iter_mut().find(|(task, known)| {
            task.job == job
                && task.step as usize == step
                && task.index as usize == index
                && known.run == run
        });
        if let Some((_, known)) = wanted {
            known.next_stop_at.get_or_insert(now);
            self.workers_with_orders.insert(incarnation.to_owned());
        }
    }

    /// Sends the starts and stops that are due on the workers marked as fresh.
    pub(crate) fn send_due_orders(&mut self, now: Millis, state: &State) {
        for incarnation in std::mem::take(&mut self.workers_with_orders) {
            self.send_orders(&incarnation, now, state);
        }
    }

    /// Sends the starts and stops that are due on one worker.
    pub(crate) fn send_orders(&mut self, incarnation: &str, now: Millis, state: &State) {
        let Some(worker) = self.workers.get(incarnation) else {
            return;
        };
        let ready = worker.has_responded && !worker.is_unresponsive();
        let tasks: Vec<TaskId> = worker.runs.keys().copied().collect();
        let mut lost = Vec::new();
        for task in tasks {
            let Some(worker) = self.workers.get(incarnation) else {
                return;
            };
            let Some(run) = worker.runs.get(&task) else {
                continue;
            };
            let unsent = matches!(run.phase, RunPhase::Recorded { .. }) && run.start_attempts == 0;
            let refused = worker.draining || !worker.listed;
            if unsent && (run.next_stop_at.is_some() || !ready || refused) {
                // Its start was never sent, so it surely isn't there.
                lost.push(RunStart {
                    task,
                    run: run.run,
                    incarnation: incarnation.to_owned(),
                    checkpoint: run.checkpoint.clone(),
                });
                continue;
            }
            if !ready || run.in_flight_orders > 0 || run.phase == RunPhase::LossProposed {
                continue;
            }
            if let Some(due) = run.next_stop_at {
                if now >= due {
                    self.send_stop(incarnation, task, now);
                }
                continue;
            }
            if matches!(run.phase, RunPhase::Recorded { not_before } if now >= not_before) {
                self.send_start(incarnation, task, state, now);
            }
        }
        if !lost.is_empty() {
            self.propose_loss(lost);
        }
    }

    /// Takes runs off the record that are surely not going on.
    pub(crate) fn propose_loss(&mut self, lost: Vec<RunStart>) {
        for start in &lost {
            // Not proposed twice while the log has it under way.
            let worker = self.workers.get_mut(&start.incarnation);
            if let Some(run) = worker.and_then(|worker| worker.runs.get_mut(&start.task)) {
                run.phase = RunPhase::LossProposed;
            }
        }
        self.outputs
            .push(Output::Propose(Command::LoseRuns { runs: lost }));
    }

    fn send_start(&mut self, incarnation: &str, task: TaskId, state: &State, now: Millis) {
        let Some(job) = state.jobs.get(&task.job) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let Some(clock) = worker.max_clock(now) else {
            return;
        };
        let deadline_ms = clock + START_VALID_MS;
        let Some(run) = worker.runs.get_mut(&task) else {
            return;
        };
        run.start_attempts += 1;
        if run.start_attempts > MAX_START_ATTEMPTS {
            run.next_stop_at = Some(now);
            return;
        }
        run.phase = RunPhase::Starting;
        run.in_flight_orders += 1;
        run.start_valid_until = run.start_valid_until.max(deadline_ms);
        worker.lease_granted_until = worker.lease_granted_until.max(deadline_ms);
        let (number, checkpoint) = (run.run, run.checkpoint.clone());
        let spec = job.submission.spec.spec.clone();
        let purpose = CallPurpose::Start {
            task,
            run: number,
            deadline_ms,
        };
        let order = WorkerOrder::Start {
            task,
            run: number,
            spec,
            deadline_ms,
            checkpoint,
        };
        self.call(incarnation, purpose, order, self.response_times.wait_ms());
    }

    fn send_stop(&mut self, incarnation: &str, task: TaskId, now: Millis) {
        let Some(run) = self
            .workers
            .get_mut(incarnation)
            .and_then(|worker| worker.runs.get_mut(&task))
        else {
            return;
        };
        run.next_stop_at = Some(now + STOP_RETRY_MS);
        run.in_flight_orders += 1;
        let number = run.run;
        let order = WorkerOrder::Stop { task, run: number };
        let timeout = self.response_times.wait_ms();
        self.call(
            incarnation,
            CallPurpose::Stop { task, run: number },
            order,
            timeout,
        );
    }

    /// Takes all runs of a worker off the record, once every hold on it has surely run out.
    pub(crate) fn lose_expired_runs(&mut self, incarnation: &str) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let lost = lost_runs(worker);
        for run in worker
            .runs
            .values_mut()
            .filter(|run| run.phase != RunPhase::Proposed)
        {
            run.phase = RunPhase::LossProposed;
        }
        self.outputs.push(Output::Log(format!(
            "the holds on {incarnation} have run out: {} runs are lost",
            lost.len()
        )));
        self.outputs
            .push(Output::Propose(Command::LoseRuns { runs: lost }));
    }
}
