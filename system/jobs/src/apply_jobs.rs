//! Commands that submit, cancel and remove jobs and open their occurrences.
use crate::{
    change::{Change, Outcome},
    transition::Transition,
    Job, Shared,
};
use magpiegap_protocol::{JobId, JobPhase, RunStart, Submission};

impl Transition<'_> {
    pub(crate) fn submit_job(&mut self, submission: &Submission, runs: &[RunStart]) -> Outcome {
        let id = submission.job;
        if let Some(known) = self.state.jobs.get(&id) {
            // The names of tasks hold the ID alone, so that no two queues can have a job of one ID.
            return match known.submission.queue == submission.queue {
                true => Outcome::Repeated,
                false => Outcome::NotApplicable,
            };
        }
        let queue = submission.queue.clone();
        *self.state.open_jobs.entry(queue).or_default() += 1;
        self.state.service_jobs.add(submission);
        let job = Job::new(submission.clone());
        self.state.jobs.insert(id, Shared::new(job));
        self.changes.push(Change::JobChanged(id));
        self.start_runs(runs);
        Outcome::Done
    }

    pub(crate) fn cancel_job(&mut self, id: JobId) -> Outcome {
        match self.state.jobs.get(&id) {
            None => Outcome::NotApplicable,
            Some(job) if job.phase.is_terminal() => Outcome::Repeated,
            Some(_) => {
                self.end_job(id, JobPhase::Cancelled);
                self.changes.push(Change::JobChanged(id));
                Outcome::Done
            }
        }
    }

    /// Moves a job to a terminal phase and decrements the open-job count of its queue. Has no effect on an ended job.
    pub(crate) fn end_job(&mut self, id: JobId, phase: JobPhase) {
        let Some(job) = self.state.jobs.get_mut(&id).map(Shared::make_mut) else {
            return;
        };
        if job.phase.is_terminal() {
            return;
        }
        job.end(phase, self.wall_ms);
        job.prune();
        let queue = &job.submission.queue;
        if let Some(count) = self.state.open_jobs.get_mut(queue) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.state.open_jobs.remove(queue);
            }
        }
    }

    pub(crate) fn open_occurrence(&mut self, id: JobId, occurrence: u32) -> Outcome {
        let is_opened = self
            .state
            .job_mut(&id)
            .is_some_and(|job| job.open_occurrence(occurrence));
        if !is_opened {
            return Outcome::NotApplicable;
        }
        self.changes.push(Change::JobChanged(id));
        Outcome::Done
    }

    /// Removes the given jobs, except those that have not ended or still have active runs.
    pub(crate) fn remove_jobs(&mut self, jobs: &[JobId]) -> Outcome {
        for id in jobs {
            let is_removable = self
                .state
                .jobs
                .get(id)
                .is_some_and(|job| job.phase.is_terminal() && !job.has_active_runs());
            if is_removable {
                if let Some(job) = self.state.jobs.remove(id) {
                    self.state.service_jobs.remove(&job.submission);
                }
                self.changes.push(Change::JobRemoved(*id));
            }
        }
        Outcome::Done
    }
}
