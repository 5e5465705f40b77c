//! Estimates are guesses: a task with a missing or wrong one ends, and its workers stay in use.
use magpiegap_fleet::{Fault, Fleet, FleetSettings};
use magpiegap_protocol::JobId;

/// When the first jobs are submitted, in milliseconds.
const SUBMIT_MS: u64 = 3000;
/// Time for a job beyond the true duration of its tasks: to be accepted, placed and reported, in milliseconds.
const OVERHEAD_MS: u64 = 2000;

fn assert_no_violations(fleet: &Fleet, scenario: &str) {
    assert!(
        fleet.violations().is_empty(),
        "{scenario}: {:?}",
        fleet.violations()
    );
}

/// Submits a job of one task whose true duration is not the estimated one.
fn submit(fleet: &mut Fleet, at: u64, estimated_ms: u64, true_ms: u64) -> JobId {
    let steps = vec![Fleet::step(1, 1000, estimated_ms)];
    let job = fleet.submit_at(at, Fleet::chain_of_steps(steps), None);
    fleet.set_task_duration(job, true_ms);
    job
}

/// A task, and what its estimate may cost.
struct Case {
    estimated_ms: u64,
    true_ms: u64,
    /// Maximum number of runs until it is done.
    max_runs: u32,
}

const CASES: [Case; 7] = [
    Case {
        estimated_ms: 0,
        true_ms: 80_000,
        max_runs: 1,
    },
    Case {
        estimated_ms: 0,
        true_ms: 500,
        max_runs: 1,
    },
    Case {
        estimated_ms: 80_000,
        true_ms: 80_000,
        max_runs: 1,
    },
    // A hundred times too small: the limit doubles until it exceeds the time of one percent.
    Case {
        estimated_ms: 800,
        true_ms: 80_000,
        max_runs: 5,
    },
    Case {
        estimated_ms: 1,
        true_ms: 200_000,
        max_runs: 6,
    },
    Case {
        estimated_ms: 3000,
        true_ms: 300_000,
        max_runs: 5,
    },
    // A hundred times too large.
    Case {
        estimated_ms: 500_000,
        true_ms: 5000,
        max_runs: 1,
    },
];

/// Guards against tasks that are stopped and moved again and again because they are slower than their client guessed, or
/// because it did not guess.
#[googletest::test]
fn task_with_wrong_estimate_ends_after_a_few_runs() {
    for case in CASES {
        let scenario = format!("estimate {}, in truth {}", case.estimated_ms, case.true_ms);
        let mut fleet = Fleet::new(FleetSettings::default());
        let job = submit(&mut fleet, SUBMIT_MS, case.estimated_ms, case.true_ms);
        // The runs that are given up are shorter than one percent of the task each.
        fleet.run_until_done(SUBMIT_MS + OVERHEAD_MS + case.true_ms * 12 / 10 + 4000);
        assert_no_violations(&fleet, &scenario);
        assert_eq!(fleet.unfinished_jobs(), [], "{scenario}");
        assert!(
            (1..=case.max_runs).contains(&fleet.runs_started(job)),
            "{scenario}: {} runs",
            fleet.runs_started(job)
        );
    }
}

/// Guards against the ejection of all workers because of tasks that are slower than their clients guessed: jobs that come
/// meanwhile are not held up.
#[googletest::test]
fn wrong_estimates_leave_workers_in_use() {
    for estimated_ms in [0, 1, 800] {
        let mut fleet = Fleet::new(FleetSettings::default());
        for number in 0..6 {
            submit(&mut fleet, SUBMIT_MS + number * 100, estimated_ms, 60_000);
        }
        fleet.run_until(SUBMIT_MS);
        for number in 0..20 {
            let quick = submit(&mut fleet, SUBMIT_MS + number * 1000, 300, 300);
            fleet.run_until(SUBMIT_MS + number * 1000 + OVERHEAD_MS);
            let is_done = !fleet.unfinished_jobs().contains(&quick);
            assert!(
                is_done,
                "estimate {estimated_ms}: {}",
                fleet.describe_job(quick)
            );
        }
        assert_no_violations(&fleet, &format!("estimate {estimated_ms}"));
    }
}

/// A worker whose runs stand still is still left, and ejected once jobs have shown that it is not their estimates.
#[googletest::test]
fn jobs_leave_worker_whose_runs_stand_still() {
    let mut fleet = Fleet::new(FleetSettings::default());
    for number in 0..12 {
        submit(&mut fleet, SUBMIT_MS + number * 50, 2000, 2000);
    }
    fleet.run_until(SUBMIT_MS + 1500);
    fleet.inject(&Fault::WorkerStall {
        worker: 1,
        duration_ms: 60_000,
    });
    for number in 0..20 {
        submit(&mut fleet, SUBMIT_MS + 2000 + number * 500, 2000, 2000);
    }
    fleet.run_until_done(SUBMIT_MS + 20_000);
    assert_no_violations(&fleet, "stalled worker");
    assert_eq!(fleet.unfinished_jobs(), []);
}
