//! Helpers for tests with a single job.
use super::apply;
use magpiegap_jobs::{Applied, Outcome, State};
use magpiegap_protocol::{
    Command, CompletionKind, JobId, JobPhase, JobSpec, RunCompletion, RunStart, StepSpec,
    Submission, TaskId, WallMillis,
};

/// ID of the only job.
pub(crate) const JOB: JobId = JobId(7);

pub(crate) fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        ..StepSpec::default()
    }
}

pub(crate) fn submission(steps: Vec<StepSpec>) -> Submission {
    Submission {
        job: JOB,
        queue: "h/q/".to_owned(),
        service: "s".to_owned(),
        priority: 1,
        max_attempts: 2,
        stretch: 2.0,
        target_latency_ms: 100,
        submitted_ms: WallMillis(0),
        spec: JobSpec {
            steps,
            ..JobSpec::default()
        },
    }
}

pub(crate) fn submit(state: &mut State, submission: Submission) -> Outcome {
    apply(
        state,
        Command::SubmitJob {
            submission: Box::new(submission),
            runs: Vec::new(),
        },
    )
    .outcome
}

/// Creates a state with a job that consists of the given steps.
pub(crate) fn state_with_job(steps: Vec<StepSpec>) -> State {
    let mut state = State::default();
    submit(&mut state, submission(steps));
    state
}

/// Starts a run and returns its description.
pub(crate) fn start_run(
    state: &mut State,
    step: u32,
    index: u32,
    run: u32,
    incarnation: &str,
) -> RunStart {
    let run = run_start(step, index, run, incarnation);
    start_runs(state, vec![run.clone()]);
    run
}

pub(crate) fn task(step: u32, index: u32) -> TaskId {
    TaskId {
        job: JOB,
        occurrence: 0,
        step,
        index,
    }
}

pub(crate) fn run_start(step: u32, index: u32, run: u32, incarnation: &str) -> RunStart {
    RunStart {
        task: task(step, index),
        run,
        incarnation: incarnation.to_owned(),
        checkpoint: String::new(),
    }
}

pub(crate) fn start_runs(state: &mut State, runs: Vec<RunStart>) -> Applied {
    apply(state, Command::StartRuns { runs })
}

pub(crate) fn complete(
    state: &mut State,
    incarnation: &str,
    acknowledged_completion: u64,
    run: &RunStart,
    kind: CompletionKind,
) -> Applied {
    let completions = vec![RunCompletion {
        task: run.task,
        run: run.run,
        kind,
        checkpoint: String::new(),
    }];
    apply(
        state,
        Command::RecordCompletions {
            incarnation: incarnation.to_owned(),
            acknowledged_completion,
            completions,
        },
    )
}

pub(crate) fn phase(state: &State) -> JobPhase {
    state.jobs[&JOB].phase
}
