//! Cancellations of jobs that are not known, and submissions that arrive after them.
mod common;

use common::{submission, CoordinatorFixture};
use googletest::prelude::*;
use magpiegap_protocol::{CoordinatorRequest, CoordinatorResponse, JobId, JobPhase};

const QUEUE: &str = "h/q/";
const JOB: JobId = JobId(7);
/// Longer than the status of an ended job is retained.
const RETENTION_MS: u64 = 160_000;
/// Upper bound of the tombstones that are kept at a time.
const MAX_TOMBSTONES: u64 = 10_000;

fn cancel(queue: &str, job: JobId) -> CoordinatorRequest {
    CoordinatorRequest::Cancel {
        queue: queue.to_owned(),
        job,
    }
}

fn submit(job: JobId) -> CoordinatorRequest {
    CoordinatorRequest::Submit(Box::new(submission(QUEUE, job)))
}

fn status(job: JobId) -> CoordinatorRequest {
    CoordinatorRequest::Status {
        queue: QUEUE.to_owned(),
        job,
    }
}

/// The responses to these requests, with this time after each of them.
fn responses(
    fixture: &mut CoordinatorFixture,
    requests: Vec<CoordinatorRequest>,
    pause_ms: u64,
) -> Vec<CoordinatorResponse> {
    fixture.responses.clear();
    for request in requests {
        fixture.handle_request(request);
        fixture.advance(pause_ms);
    }
    fixture.advance(500);
    fixture.responses.clone()
}

/// Guards against a job that runs after its cancellation was acknowledged, because its submission arrived late.
#[googletest::test]
fn submission_after_cancellation_starts_nothing() {
    for pause_ms in [0, 10, 500, 40_000] {
        let mut fixture = CoordinatorFixture::new();
        let requests = vec![cancel(QUEUE, JOB), submit(JOB), status(JOB)];
        let responses = responses(&mut fixture, requests, pause_ms);
        let cancelled = CoordinatorResponse::Phase(JobPhase::Cancelled);
        // Without a pause the job may be accepted first; the cancellation is acknowledged after that.
        let accepted = responses
            .iter()
            .filter(|response| **response == CoordinatorResponse::Accepted);
        expect_that!(accepted.count(), eq(2), "{pause_ms} ms: {responses:?}");
        if pause_ms > 0 {
            expect_that!(responses[2], eq(&cancelled), "{pause_ms} ms");
            expect_that!(fixture.started_runs(JOB), eq(0), "{pause_ms} ms");
        }
        let phase = fixture.coordinator.state().jobs[&JOB].phase;
        expect_that!(phase, eq(JobPhase::Cancelled), "{pause_ms} ms");
    }
}

#[googletest::test]
fn cancellation_of_unknown_job_is_retained_like_an_ended_job() {
    let mut fixture = CoordinatorFixture::new();
    let requests = vec![
        cancel(QUEUE, JOB),
        cancel(QUEUE, JOB),
        cancel("h/dropped/", JobId(8)),
    ];
    let expected = vec![
        CoordinatorResponse::Accepted,
        CoordinatorResponse::Accepted,
        CoordinatorResponse::NotServing,
    ];
    expect_that!(responses(&mut fixture, requests, 500), eq(&expected));
    expect_that!(fixture.coordinator.state().jobs.len(), eq(1));
    expect_that!(fixture.coordinator.state().inconsistencies(), is_empty());
    fixture.advance(RETENTION_MS);
    expect_that!(fixture.coordinator.state().jobs.len(), eq(0));
    expect_that!(fixture.coordinator.state().service_jobs.tombstones(), eq(0));
}

/// Guards against the cancellation of a job of another queue, and against a tombstone that stays pending, when the
/// request is given up before the tombstone is recorded.
#[googletest::test]
fn abandoned_cancellation_ends_its_own_job_only() {
    let other_queue = CoordinatorRequest::Submit(Box::new(submission("h/r/", JOB)));
    let cases = [
        ("unknown", None, JobPhase::Cancelled),
        ("other queue", Some(other_queue), JobPhase::Pending),
    ];
    for (name, earlier, expected) in cases {
        let mut fixture = CoordinatorFixture::new();
        responses(&mut fixture, earlier.into_iter().collect(), 500);
        // The cancellation is read while the view is confirmed, and then waits for the disk for too long.
        fixture.is_disk_stalled = true;
        let given_up = responses(&mut fixture, vec![cancel(QUEUE, JOB)], 2500);
        expect_that!(given_up, eq(&[CoordinatorResponse::Unknown]), "{name}");
        fixture.is_disk_stalled = false;
        fixture.advance(1000);
        let phase = fixture.coordinator.state().jobs[&JOB].phase;
        expect_that!(phase, eq(expected), "{name}");
    }
}

/// Guards against cancellations of unknown jobs that fill the memory.
#[googletest::test]
fn cancellations_of_unknown_jobs_are_bounded() {
    let mut fixture = CoordinatorFixture::new();
    fixture.responses.clear();
    for number in 0..MAX_TOMBSTONES + 200 {
        fixture.handle_request(cancel(QUEUE, JobId(1000 + number)));
        if number % 100 == 99 {
            fixture.advance(20);
        }
    }
    fixture.advance(500);
    let count = |response| {
        let equal = fixture.responses.iter().filter(|other| **other == response);
        equal.count() as u64
    };
    let accepted = count(CoordinatorResponse::Accepted);
    expect_that!(accepted, ge(MAX_TOMBSTONES));
    expect_that!(accepted, le(MAX_TOMBSTONES + 100));
    expect_that!(
        accepted + count(CoordinatorResponse::NoCapacity),
        eq(MAX_TOMBSTONES + 200)
    );
    // A job that is known can be cancelled all the same, and others are accepted.
    let known = JobId(1);
    let requests = vec![submit(known), cancel(QUEUE, known), submit(JobId(2))];
    let expected = vec![CoordinatorResponse::Accepted; 3];
    expect_that!(responses(&mut fixture, requests, 500), eq(&expected));
    fixture.advance(RETENTION_MS);
    let requests = vec![cancel(QUEUE, JobId(3))];
    let expected = vec![CoordinatorResponse::Accepted];
    expect_that!(responses(&mut fixture, requests, 500), eq(&expected));
}
