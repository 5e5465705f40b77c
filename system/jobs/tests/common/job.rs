//! One job, and the steps that tests take with it.
use super::apply;
use magpiegap_jobs::{Applied, Outcome, State};
use magpiegap_protocol::{
    Command, CompletionKind, JobId, JobPhase, JobSpec, RunCompletion, RunStart, StepSpec,
    Submission, TaskId, WallMillis,
};

/// The job.
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

/// A state with the job of these steps.
pub(crate) fn with_job(steps: Vec<StepSpec>) -> State {
    let mut state = State::default();
    submit(&mut state, submission(steps));
    state
}

/// A run that the state has as started.
pub(crate) fn started(
    state: &mut State,
    step: u32,
    index: u32,
    run: u32,
    incarnation: &str,
) -> RunStart {
    let start = start(step, index, run, incarnation);
    start_runs(state, vec![start.clone()]);
    start
}

pub(crate) fn task(step: u32, index: u32) -> TaskId {
    TaskId {
        job: JOB,
        occurrence: 0,
        step,
        index,
    }
}

pub(crate) fn start(step: u32, index: u32, run: u32, incarnation: &str) -> RunStart {
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
    start: &RunStart,
    kind: CompletionKind,
) -> Applied {
    let completions = vec![RunCompletion {
        task: start.task,
        run: start.run,
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
