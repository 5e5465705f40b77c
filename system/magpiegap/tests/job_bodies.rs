//! Compatibility of job bodies: stored bodies must always be parsed to the same values.
//!
//! Field names must not change, because clients are not upgraded together with the proxies. The bodies are in
//! `golden/jobs/`.
use googletest::prelude::*;
use magpiegap::job_body;
use magpiegap_protocol::{JobSpec, Resources, StepSpec, WallMillis};

fn expect_job(body: &str, expected: &JobSpec) {
    expect_that!(
        job_body::read(body.as_bytes()).ok().as_ref(),
        some(eq(expected)),
        "{body}"
    );
}

fn texts(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}

#[googletest::test]
fn every_field_of_a_job_is_read() {
    let first = StepSpec {
        count: 4,
        resources: Resources {
            cpu: 500,
            memory_mb: 256,
            gpu: 1,
        },
        estimated_ms: 900,
        depends_on: Vec::new(),
        checkpoints: false,
        gang: false,
        rack_local: false,
        requirements: texts(&["a"]),
        affinity: Some("r1-3".to_owned()),
        anti_affinity: 0,
        allow_duplicate: false,
    };
    let second = StepSpec {
        count: 20,
        resources: Resources {
            cpu: 2000,
            memory_mb: 1024,
            gpu: 2,
        },
        estimated_ms: 7000,
        depends_on: vec![0],
        checkpoints: true,
        gang: true,
        rack_local: true,
        requirements: texts(&["b", "c"]),
        affinity: None,
        anti_affinity: 2,
        allow_duplicate: true,
    };
    let job = JobSpec {
        spec: "text of the job".to_owned(),
        steps: vec![first, second],
        long_running: false,
        repeat_count: 3,
        start_at_ms: WallMillis(1_700_000_000_000),
        interval_ms: 3000,
    };
    expect_job(include_str!("golden/jobs/every_field.json"), &job);
}

#[googletest::test]
fn missing_fields_get_their_defaults() {
    let job = JobSpec {
        steps: vec![StepSpec {
            count: 1,
            ..StepSpec::default()
        }],
        ..JobSpec::default()
    };
    expect_job(include_str!("golden/jobs/minimal.json"), &job);
}

#[googletest::test]
fn job_or_any_step_can_be_long_running() {
    let one = StepSpec {
        count: 1,
        ..StepSpec::default()
    };
    let two = StepSpec {
        count: 2,
        depends_on: vec![0],
        ..StepSpec::default()
    };
    let job = |steps| JobSpec {
        spec: "t".to_owned(),
        steps,
        long_running: true,
        ..JobSpec::default()
    };
    expect_job(
        include_str!("golden/jobs/long_running.json"),
        &job(vec![one.clone()]),
    );
    expect_job(
        include_str!("golden/jobs/long_running_step.json"),
        &job(vec![one, two]),
    );
}

#[googletest::test]
fn numbers_are_clamped_to_storable_integers() {
    let step = StepSpec {
        count: 1,
        resources: Resources {
            cpu: 1,
            memory_mb: 0,
            gpu: 0,
        },
        estimated_ms: 1000,
        anti_affinity: u32::MAX,
        ..StepSpec::default()
    };
    let job = JobSpec {
        spec: "t".to_owned(),
        steps: vec![step],
        interval_ms: 2,
        ..JobSpec::default()
    };
    expect_job(include_str!("golden/jobs/out_of_range_numbers.json"), &job);
}
