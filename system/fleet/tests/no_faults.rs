//! A fleet without faults completes every job and configuration change.
use googletest::prelude::*;
use magpiegap_fleet::{Fleet, FleetSettings};
use magpiegap_protocol::JobPhase;
use rand::{rngs::StdRng, SeedableRng};

#[googletest::test]
fn all_jobs_succeed_without_faults() {
    // Given
    let mut fleet = Fleet::new(FleetSettings::default());
    // When
    let jobs: Vec<_> = (0..30)
        .map(|number| {
            fleet.submit_at(
                3000 + number * 100,
                Fleet::chain_of_steps(vec![Fleet::step(3, 1000, 400), Fleet::step(2, 2000, 300)]),
                None,
            )
        })
        .collect();
    fleet.run_until_done(30_000);
    // Then
    expect_that!(fleet.violations(), is_empty());
    for job in jobs {
        expect_that!(fleet.phase(job), some(eq(JobPhase::Succeeded)));
    }
}

#[googletest::test]
fn all_coordinators_apply_acknowledged_configurations() {
    // Given
    let mut fleet = Fleet::new(FleetSettings::default());
    // When
    fleet.run_until(6000);
    // Then
    expect_that!(fleet.violations(), is_empty());
    expect_that!(fleet.acknowledged_configuration(), gt(5));
    let acknowledged = fleet.acknowledged_configuration();
    expect_that!(
        fleet.configurations(),
        each(ge(&acknowledged.saturating_sub(1)))
    );
}

#[googletest::test]
fn job_fails_after_its_last_attempt() {
    // Given
    let mut fleet = Fleet::new(FleetSettings {
        run_failure_percent: 100,
        ..FleetSettings::default()
    });
    // When
    let job = fleet.submit_at(
        3000,
        Fleet::chain_of_steps(vec![Fleet::step(1, 1000, 100)]),
        None,
    );
    fleet.run_until_done(60_000);
    // Then
    expect_that!(fleet.violations(), is_empty());
    expect_that!(fleet.phase(job), some(eq(JobPhase::Failed)));
}

#[googletest::test]
fn jobs_of_every_kind_end_without_gang_timeouts() {
    for enforces_capacity in [true, false] {
        // Given
        let mut fleet = Fleet::new(FleetSettings {
            enforces_capacity,
            ..FleetSettings::default()
        });
        let mut random = StdRng::seed_from_u64(3);
        // When
        for number in 0..60 {
            let at = 3000 + number * 300;
            let job = fleet.random_job(&mut random, at);
            let cancel_at = job.long_running.then_some(at + 5000);
            fleet.submit_at(at, job, cancel_at);
        }
        fleet.run_until_done(60_000);
        // Then
        expect_that!(fleet.violations(), is_empty());
        expect_that!(fleet.unfinished_jobs(), is_empty());
        expect_that!(fleet.gang_timeouts(), eq(0));
    }
}

#[googletest::test]
fn jobs_queued_behind_unplaceable_jobs_succeed() {
    // Given: at each priority, more distinct unplaceable tasks at the head of the queue than one planning pass examines
    let mut fleet = Fleet::new(FleetSettings::default());
    for number in 0..180 {
        let mut job = Fleet::chain_of_steps(vec![Fleet::step(1, 1000, 200)]);
        job.steps[0].requirements = vec![format!("missing-label-{number}")];
        fleet.submit_at(3000, job, Some(25_000));
    }
    // When
    let jobs: Vec<_> = (0..9)
        .map(|number| {
            fleet.submit_at(
                5000 + number * 100,
                Fleet::chain_of_steps(vec![Fleet::step(2, 1000, 300)]),
                None,
            )
        })
        .collect();
    fleet.run_until(20_000);
    // Then
    expect_that!(fleet.violations(), is_empty());
    for job in jobs {
        expect_that!(fleet.phase(job), some(eq(JobPhase::Succeeded)));
    }
}

#[googletest::test]
fn cancelling_a_repeated_job_ends_overlapping_runs() {
    // Given: runs of several occurrences with the same step, index and run number are on one worker
    let mut fleet = Fleet::new(FleetSettings {
        workers: 1,
        ..FleetSettings::default()
    });
    let mut job = Fleet::chain_of_steps(vec![Fleet::step(2, 1000, 100_000)]);
    job.repeat_count = 3;
    job.start_at_ms = fleet.wall() + 3000;
    job.interval_ms = 300;
    // When
    let id = fleet.submit_at(3000, job, Some(6000));
    fleet.run_until(10_000);
    // Then
    expect_that!(fleet.violations(), is_empty());
    expect_that!(fleet.phase(id), some(eq(JobPhase::Cancelled)));
}
