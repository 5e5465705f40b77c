//! Identifiers, messages, job validation, arithmetic, views and feeds.
use googletest::prelude::*;
use magpiegap_protocol::{
    decode, encode, CoordinatorRequest, Feed, FencingToken, JobId, JobSpec, JobSpecError, LogIndex,
    Member, ReplicaId, Resources, Role, RoleHolder, StepSpec, TaskId, View, ViewNumber, MAX_AMOUNT,
};

fn replica(address: u32) -> ReplicaId {
    ReplicaId {
        member: Member { address, disk: 0 },
        incarnation: u64::from(address),
    }
}

#[googletest::test]
fn task_id_round_trips_through_its_text() {
    let task = TaskId {
        job: JobId(0x5c0e_7a21_d94b_36f8),
        occurrence: 2,
        step: 1,
        index: 17,
    };
    expect_that!(task.to_string(), eq("5c0e7a21d94b36f8.2.1.17"));
    expect_that!(TaskId::parse(&task.to_string()), some(eq(task)));
    for malformed in [
        "",
        "5c0e7a21d94b36f8",
        "5c0e7a21d94b36f8.0.1",
        "5C0E7A21D94B36F8.0.1.1",
        "5c0e7a21d94b36f8.0.1.1.1",
    ] {
        expect_that!(TaskId::parse(malformed), none());
    }
}

/// Guards against a job that is unknown since its client writes the digits of the ID in upper case.
#[googletest::test]
fn job_id_is_parsed_in_either_case() {
    let job = JobId(0x5c0e_7a21_d94b_36f8);
    let cases = [
        ("5c0e7a21d94b36f8", Some(job)),
        ("5C0E7A21D94B36F8", Some(job)),
        ("5C0e7A21d94b36f8", Some(job)),
        ("5c0e7a21d94b36f", None),
        ("5c0e7a21d94b36f8a", None),
        ("5c0e7a21d94b36g8", None),
        ("+c0e7a21d94b36f8", None),
        ("", None),
    ];
    for (text, expected) in cases {
        expect_that!(JobId::parse(text), eq(expected), "{text}");
    }
}

#[googletest::test]
fn truncated_message_is_rejected() {
    let request = CoordinatorRequest::Status {
        queue: "h/q/".to_owned(),
        job: JobId(7),
    };
    let bytes = encode(&request);
    expect_that!(
        decode::<CoordinatorRequest>(&bytes).ok(),
        some(eq(&request))
    );
    for length in 0..bytes.len() {
        expect_that!(decode::<CoordinatorRequest>(&bytes[..length]).ok(), none());
    }
}

#[googletest::test]
fn invalid_job_is_rejected_with_its_error() {
    let job = |steps| JobSpec {
        steps,
        ..JobSpec::default()
    };
    let step = |count, depends_on| StepSpec {
        count,
        depends_on,
        ..StepSpec::default()
    };
    expect_that!(job(vec![]).validate(), err(eq(&JobSpecError::NoSteps)));
    expect_that!(
        job(vec![step(0, vec![])]).validate(),
        err(eq(&JobSpecError::EmptyStep(0)))
    );
    expect_that!(
        job(vec![step(1, vec![0])]).validate(),
        err(eq(&JobSpecError::BadDependency(0, 0)))
    );
    expect_that!(
        job(vec![step(u32::MAX, vec![])]).validate(),
        err(anything())
    );
    expect_that!(
        job(vec![step(1, vec![]), step(2, vec![0])]).validate(),
        ok(anything())
    );
    let long = JobSpec {
        spec: "x".repeat(4001),
        ..job(vec![step(1, vec![])])
    };
    expect_that!(long.validate(), err(eq(&JobSpecError::SpecTooLong(4001))));
}

#[googletest::test]
fn amounts_above_the_maximum_are_rejected() {
    let amounts = |cpu, memory_mb, gpu, estimated_ms| JobSpec {
        steps: vec![StepSpec {
            count: 1,
            resources: Resources {
                cpu,
                memory_mb,
                gpu,
            },
            estimated_ms,
            ..StepSpec::default()
        }],
        ..JobSpec::default()
    };
    let max = MAX_AMOUNT;
    expect_that!(amounts(max, max, max, max).validate(), ok(anything()));
    for (job, field) in [
        (amounts(max + 1, 0, 0, 0), "cpu"),
        (amounts(0, max + 1, 0, 0), "memMb"),
        (amounts(0, 0, u64::MAX, 0), "gpu"),
        (amounts(0, 0, 0, u64::MAX), "estimatedMs"),
    ] {
        expect_that!(
            job.validate(),
            err(eq(&JobSpecError::AmountTooLarge(0, field)))
        );
    }
}

#[googletest::test]
fn arithmetic_on_largest_numbers_does_not_wrap() {
    expect_that!(ViewNumber(u64::MAX).next(), eq(ViewNumber(u64::MAX)));
    expect_that!(LogIndex::MAX.next(), eq(LogIndex::MAX));
    expect_that!(FencingToken(u64::MAX).checked_next(), none());
    let largest = Resources {
        cpu: u64::MAX,
        memory_mb: u64::MAX,
        gpu: u64::MAX,
    };
    let one = Resources {
        cpu: 1,
        memory_mb: 1,
        gpu: 1,
    };
    expect_that!(largest.saturating_add(&one), eq(largest));
    expect_that!(one.saturating_add(&largest).fits_in(&one), eq(false));
    // A job that a proxy submitted without validating it.
    let long = StepSpec {
        count: 1,
        estimated_ms: u64::MAX,
        ..StepSpec::default()
    };
    let after = StepSpec {
        depends_on: vec![0],
        ..long.clone()
    };
    let job = JobSpec {
        steps: vec![long, after],
        ..JobSpec::default()
    };
    expect_that!(job.critical_path_ms(), eq(u64::MAX));
    expect_that!(job.critical_paths_from_steps()[0], eq(u64::MAX));
}

#[googletest::test]
fn comparisons_include_every_resource() {
    let capacity = Resources {
        cpu: 4000,
        memory_mb: 100,
        gpu: 0,
    };
    expect_that!(
        Resources {
            cpu: 4000,
            memory_mb: 101,
            gpu: 0
        }
        .fits_in(&capacity),
        eq(false)
    );
    expect_that!(
        Resources {
            cpu: 1000,
            memory_mb: 50,
            gpu: 0
        }
        .dominant_share(&capacity),
        eq(0.5)
    );
    expect_that!(
        Resources { gpu: 1, ..capacity }.dominant_share(&capacity),
        eq(f64::INFINITY)
    );
}

#[googletest::test]
fn disk_in_every_later_chain_is_complete() {
    let first = View::initial(vec![
        replica(1).member,
        replica(2).member,
        replica(3).member,
    ]);
    let second = first.next(
        first.voters.clone(),
        vec![replica(1), replica(2), replica(3)],
    );
    let third = second.next(first.voters.clone(), vec![replica(1), replica(2)]);
    let fourth = third.next(
        first.voters.clone(),
        vec![replica(2), replica(1), replica(3)],
    );
    expect_that!(
        fourth.complete_since(ViewNumber(1), &replica(1).member),
        eq(true)
    );
    // It was not in the chain of the third view, which may have committed entries without it.
    expect_that!(
        fourth.complete_since(ViewNumber(1), &replica(3).member),
        eq(false)
    );
    expect_that!(
        fourth.complete_since(ViewNumber(2), &replica(3).member),
        eq(true)
    );
    expect_that!(
        fourth.complete_since(ViewNumber(9), &replica(1).member),
        eq(false)
    );
}

#[googletest::test]
fn feed_older_in_any_part_does_not_supersede() {
    let feed = |view, version, token| Feed {
        view: ViewNumber(view),
        configuration_version: version,
        roles: vec![RoleHolder {
            role: Role::PlatformReader,
            holder: replica(1),
            token: FencingToken(token),
        }],
        ..Feed::default()
    };
    let known = feed(4, 9, 2);
    expect_that!(feed(4, 9, 3).supersedes(&known), eq(true));
    expect_that!(feed(5, 8, 3).supersedes(&known), eq(false));
    expect_that!(feed(3, 9, 2).supersedes(&known), eq(false));
    expect_that!(feed(5, 9, 1).supersedes(&known), eq(false));
}
