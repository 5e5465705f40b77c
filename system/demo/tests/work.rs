//! Encoding of a job's work for the emulated workers.
use googletest::prelude::*;
use magpiegap_demo::work::{job_body, job_text, StepWork, TaskWork, MEMORY_MB};
use magpiegap_protocol::{JobId, Resources, TaskId};

fn steps() -> Vec<StepWork> {
    vec![
        StepWork {
            count: 2,
            cpu: 500,
            duration_ms: 400,
            gang: false,
        },
        StepWork {
            count: 3,
            cpu: 1500,
            duration_ms: 900,
            gang: true,
        },
    ]
}

fn task(step: u32) -> TaskId {
    TaskId {
        job: JobId(1),
        occurrence: 0,
        step,
        index: 0,
    }
}

#[googletest::test]
fn job_text_contains_the_work_of_each_step() {
    let text = job_text(&steps());
    let second = TaskWork {
        resources: Resources {
            cpu: 1500,
            memory_mb: MEMORY_MB,
            gpu: 0,
        },
        duration_ms: 900,
    };
    expect_that!(TaskWork::parse(&text, &task(1)), some(eq(second)));
    expect_that!(TaskWork::parse(&text, &task(2)), none());
    expect_that!(TaskWork::parse("no such text", &task(0)), none());
}

#[googletest::test]
fn second_step_depends_on_the_first() {
    let body = job_body(&steps());
    expect_that!(body["steps"][0]["dependsOn"].is_null(), eq(true));
    expect_that!(body["steps"][1]["dependsOn"][0].as_u64(), some(eq(0)));
    expect_that!(body["steps"][1]["gang"].as_bool(), some(eq(true)));
}

#[googletest::test]
fn proxy_parses_the_job_body() {
    let body = job_body(&steps()).to_string();
    let job = magpiegap::job_body::read(body.as_bytes());
    expect_that!(job.map(|job| job.steps.len()).ok(), some(eq(2)));
}
