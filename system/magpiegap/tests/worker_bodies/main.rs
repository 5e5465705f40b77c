//! Compatibility of the HTTP bodies exchanged with workers and the platform.
//!
//! These bodies must not change: workers and the platform are maintained outside this project, and serve the old and the
//! new build during a rolling upgrade. The bodies are visible only outside the process, so the test starts a single
//! coordinator on loopback with fake servers for the platform and all workers. `golden/worker/orders.txt` has the
//! expected orders, one line per kind, as `path incarnation body`, with deadlines replaced by `N`. The responses are in
//! the other files in `golden/worker/` and `golden/platform/`.
mod coordinator_process;
mod fake_servers;

use coordinator_process::Coordinator;
use fake_servers::FakeServers;
use googletest::prelude::*;
use magpiegap_protocol::{
    CompletionKind, CoordinatorRequest, CoordinatorResponse, JobId, JobSpec, Resources,
    RunCompletion, StepSpec, Submission, TaskId, WallMillis,
};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};
use tokio::time::sleep;

const ORDERS: &str = include_str!("../golden/worker/orders.txt");
const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"q","hostname":"h","pathPrefix":"/q/","timeoutMs":5000,"service":"desk"}],"services":[{"name":"desk"}]}"#;

const JOB: JobId = JobId(0xa1a1_0000_0000_0001);
const TASK: &str = "a1a1000000000001.0.0.0";
/// Timeout of each wait; long enough for a busy machine.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay of long-poll responses, and between two checks of a wait.
const DELAY: Duration = Duration::from_millis(20);

/// A job with two tasks; only one worker fits, and it can run only one of them.
fn submission() -> Submission {
    let step = StepSpec {
        count: 2,
        resources: Resources {
            cpu: 500,
            memory_mb: 256,
            gpu: 1,
        },
        estimated_ms: 60_000,
        checkpoints: true,
        requirements: vec!["a".to_owned()],
        ..StepSpec::default()
    };
    Submission {
        job: JOB,
        queue: "h/q/".to_owned(),
        service: "desk".to_owned(),
        priority: 1,
        max_attempts: 50,
        stretch: 2.0,
        target_latency_ms: 1000,
        submitted_ms: WallMillis(0),
        spec: JobSpec {
            spec: "a \"text\"".to_owned(),
            steps: vec![step],
            ..JobSpec::default()
        },
    }
}

/// The explanation of the job's first step, as returned to operators, once it is stable.
async fn explained_step(coordinator: &Coordinator) -> serde_json::Value {
    let deadline = Instant::now() + LONG_TIMEOUT;
    loop {
        let explain = CoordinatorRequest::Explain { job: JOB };
        let response = coordinator
            .request_until(explain, |response| {
                matches!(response, CoordinatorResponse::Description(_))
            })
            .await;
        let CoordinatorResponse::Description(text) = response else {
            return serde_json::Value::Null;
        };
        let explanation: serde_json::Value = serde_json::from_str(&text).unwrap();
        let step = &explanation["steps"][0];
        // The first call to each worker and the first listing of the run happen at different times.
        let is_stable =
            step["workers"]["not_answering"] == 0 && step["running"][0]["percent"] == 42;
        let is_stable = is_stable && step["workers"]["known"] == 6;
        if is_stable || Instant::now() >= deadline {
            return step.clone();
        }
        sleep(DELAY).await;
    }
}

#[tokio::test]
async fn orders_and_responses_match_the_stored_bodies() {
    let fake_servers = FakeServers::new();
    let coordinator = Coordinator::start(fake_servers.listen().await);
    let orders: Vec<&str> = ORDERS.lines().collect();
    let [first_lease, long_poll, unknown_stop, first_start, second_start, stop, new_token_lease] =
        orders[..]
    else {
        panic!("unexpected number of stored orders: {}", orders.len())
    };
    let body = CONFIGURATION.as_bytes().to_vec();
    let configure = CoordinatorRequest::ReplaceConfiguration { base: 0, body };
    coordinator
        .request_until_response(configure, CoordinatorResponse::ConfigurationAccepted)
        .await;
    fake_servers.wait_for_order(first_lease).await;
    fake_servers.wait_for_order(unknown_stop).await;
    let submit = CoordinatorRequest::Submit(Box::new(submission()));
    coordinator
        .request_until_response(submit, CoordinatorResponse::Accepted)
        .await;
    fake_servers.wait_for_order(first_start).await;
    fake_servers.wait_for_order(long_poll).await;

    // The reasons why no worker accepts the second task show how the platform's list was read.
    let step = explained_step(&coordinator).await;
    let expected = serde_json::json!({"known": 6, "not_listed": 0, "draining": 1, "not_answering": 0, "left_alone": 0, "on_probation": 0,
        "without_label": 1, "too_small": 3, "without_room": 1, "kept_for_others": 0, "away_from_data": 0, "free": 0});
    assert_that!(step["workers"], eq(&expected));
    let run = serde_json::json!([{"task": TASK, "run": 1, "worker": "w-1", "percent": 42}]);
    assert_that!(step["running"], eq(&run));

    fake_servers.with(|recorded| recorded.fail_first_run = true);
    fake_servers.wait_for_order(second_start).await;
    let cancel = CoordinatorRequest::Cancel {
        queue: "h/q/".to_owned(),
        job: JOB,
    };
    coordinator
        .request_until_response(cancel, CoordinatorResponse::Accepted)
        .await;
    fake_servers.wait_for_order(stop).await;
    // After a refusal because of a stale token the coordinator claims the role again, which gives it a higher token.
    fake_servers.with(|recorded| recorded.refuse = true);
    fake_servers.wait_for_order(new_token_lease).await;

    let pages = fake_servers.with(|recorded| recorded.pages.clone());
    assert_that!(
        pages,
        eq(&BTreeSet::from(
            ["/instances", "/instances?pageToken=p%202%2F%C3%A9"].map(str::to_owned)
        ))
    );
    expect_heads(&fake_servers.with(|recorded| recorded.heads.clone()));
    expect_completions(&coordinator.completions_on_disk());
}

/// Every order names the incarnation of the worker for which it is meant.
fn expect_heads(heads: &BTreeSet<String>) {
    for path in ["/-/hold", "/-/run-start", "/-/run-stop"] {
        let head = format!(
            "POST {path} HTTP/1.1\nhost: ADDRESS\ncontent-type: application/json\nexpected-instance: w-1"
        );
        assert_that!(heads, contains(eq(&head)));
    }
}

/// The listed completions are in the log, with kinds and checkpoints converted from the body.
fn expect_completions(completions: &[RunCompletion]) {
    let unknown_run = |number: u64, kind, checkpoint: &str| RunCompletion {
        task: TaskId {
            job: JobId(0xb1b1_0000_0000_0000 + number),
            occurrence: 1,
            step: 2,
            index: 3,
        },
        run: 10 + number as u32,
        kind,
        checkpoint: checkpoint.to_owned(),
    };
    let own_task = TaskId {
        job: JOB,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let expected = [
        unknown_run(1, CompletionKind::Done, "c-1"),
        unknown_run(2, CompletionKind::Failed, ""),
        unknown_run(3, CompletionKind::Stopped, "c-3"),
        unknown_run(4, CompletionKind::LeaseExpired, "c-4"),
        unknown_run(5, CompletionKind::GangEnded, "c-5"),
        unknown_run(6, CompletionKind::GangTimedOut, "c-6"),
        unknown_run(7, CompletionKind::Stopped, "c-7"),
        RunCompletion {
            task: own_task,
            run: 1,
            kind: CompletionKind::Failed,
            checkpoint: "c-8".to_owned(),
        },
    ];
    assert_that!(completions, eq(&expected));
}
