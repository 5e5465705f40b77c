//! A job ID belongs to the queue whose job has it.
mod common;

use common::{submission, CoordinatorFixture};
use googletest::prelude::*;
use magpiegap_protocol::{CoordinatorRequest, CoordinatorResponse, JobId};

const JOB: JobId = JobId(7);

fn submit(queue: &str) -> CoordinatorRequest {
    CoordinatorRequest::Submit(Box::new(submission(queue, JOB)))
}

/// The responses to submissions of one ID to these queues, with this time between them.
fn responses(queues: &[&str], pause_ms: u64) -> Vec<CoordinatorResponse> {
    let mut fixture = CoordinatorFixture::new();
    fixture.responses.clear();
    for queue in queues {
        fixture.handle_request(submit(queue));
        if pause_ms > 0 {
            fixture.advance(pause_ms);
        }
    }
    fixture.advance(500);
    let jobs = fixture.coordinator.state().jobs.clone();
    expect_that!(jobs.len(), eq(1));
    expect_that!(jobs[&JOB].submission.queue, eq(queues[0]));
    fixture.responses
}

/// Guards against a submission that is answered as accepted and never runs, because a job of another queue has its ID.
#[googletest::test]
fn id_of_another_queue_is_refused() {
    let cases: [(&[&str], usize, usize); 3] = [
        (&["h/q/", "h/q/"], 2, 0),
        (&["h/q/", "h/r/"], 1, 1),
        (&["h/q/", "h/r/", "h/q/"], 2, 1),
    ];
    for pause_ms in [500, 0] {
        for (queues, accepted, taken) in cases {
            let responses = responses(queues, pause_ms);
            let count = |response| responses.iter().filter(|other| **other == response).count();
            let counts = (
                count(CoordinatorResponse::Accepted),
                count(CoordinatorResponse::JobIdTaken),
            );
            expect_that!(counts, eq((accepted, taken)), "{queues:?}: {responses:?}");
        }
    }
}
