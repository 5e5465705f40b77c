//! The emulated worker accepts calls with the highest fencing token that it has received, and refuses older tokens.
use googletest::prelude::*;
use magpiegap_fleet::{Work, Worker, WorkerSettings};
use magpiegap_protocol::{CompletionKind, FencingToken, JobId, Resources, TaskId, WorkerEntry};
use magpiegap_scheduler::{RefusalReason, WorkerCall, WorkerOrder, WorkerReply};

const TASK: TaskId = TaskId {
    job: JobId(1),
    occurrence: 0,
    step: 0,
    index: 0,
};

fn orders() -> Vec<WorkerOrder> {
    let renewal = WorkerOrder::RenewLease {
        deadline_ms: Some(5000),
        acknowledged_completion: 0,
        long_poll_ms: 0,
    };
    let start = WorkerOrder::Start {
        task: TASK,
        run: 1,
        spec: String::new(),
        deadline_ms: 5000,
        checkpoint: String::new(),
    };
    vec![renewal, start, WorkerOrder::Stop { task: TASK, run: 1 }]
}

fn call(token: u64, order: WorkerOrder) -> WorkerCall {
    WorkerCall {
        id: 1,
        incarnation: "w".to_owned(),
        address: "w:1".to_owned(),
        token: FencingToken(token),
        order,
        timeout_ms: 100,
    }
}

#[googletest::test]
fn stale_orders_are_refused_without_effect() {
    let work = Work {
        resources: Resources::default(),
        duration_ms: 1000,
        kind: CompletionKind::Done,
        checkpoints: false,
        gang: false,
    };
    for (token, is_refused) in [(0, true), (4, true), (5, false), (6, false)] {
        for order in orders() {
            let settings = WorkerSettings {
                enforces_capacity: true,
                clock_offset_ms: 0,
                clock_rate_permille: 1000,
                max_lease_ms: 6000,
            };
            let entry = WorkerEntry {
                incarnation: "w".to_owned(),
                ..WorkerEntry::default()
            };
            let mut worker = Worker::new(entry, settings);
            // Given: a worker that has received token 5
            worker.handle_call(0, &call(5, orders().remove(0)), None);
            worker.poll_events();
            // When
            let reply = worker.handle_call(10, &call(token, order.clone()), Some(work));
            // Then
            let refused = WorkerReply::Refused {
                clock_ms: Some(10),
                reason: RefusalReason::StaleToken,
            };
            let case = format!("{token} {order:?}");
            expect_that!(reply == refused, eq(is_refused), "{case}: {reply:?}");
            let is_start = matches!(order, WorkerOrder::Start { .. });
            let has_started = !worker.poll_events().is_empty();
            expect_that!(has_started, eq(is_start && !is_refused), "{case}");
        }
    }
}
