//! Jobs of a service that the configuration no longer lists run to their end, whoever schedules them.
use magpiegap_fleet::{Fault, Fleet, FleetSettings, ServiceListing};
use rand::{rngs::StdRng, Rng, SeedableRng};

/// When the jobs are submitted, in milliseconds.
const SUBMIT_MS: u64 = 3000;
/// Time within which the scheduler role is claimed and the jobs run, in milliseconds.
const RUN_TIMEOUT_MS: u64 = 30_000;

/// Asserts that no invariant was violated and every job has ended.
fn check(fleet: &Fleet, scenario: &str) {
    assert!(
        fleet.violations().is_empty(),
        "{scenario}: {:?}",
        fleet.violations()
    );
    let unfinished = fleet.unfinished_jobs();
    assert!(
        unfinished.is_empty(),
        "{scenario}: unfinished {unfinished:?}\n{:#?}",
        fleet.describe()
    );
}

/// A job of two steps of six and four seconds.
fn submit_two_step_job(fleet: &mut Fleet) {
    let steps = vec![Fleet::step(1, 1000, 6000), Fleet::step(1, 1000, 4000)];
    fleet.submit_at(SUBMIT_MS, Fleet::chain_of_steps(steps), None);
}

/// Guards against jobs that stop forever when their service leaves the configuration and their scheduler stops: the role
/// was required only for services of the newest configuration.
#[googletest::test]
fn job_of_dropped_service_ends_after_its_scheduler_stops() {
    let kill = |node| Fault::Kill {
        node,
        duration_ms: 500,
    };
    let drain = |node| Fault::Drain {
        node,
        duration_ms: 500,
    };
    let wipe = |node| Fault::Wipe {
        node,
        duration_ms: 500,
    };
    let all_lose_power = |_| Fault::TotalPowerLoss { duration_ms: 500 };
    let faults: [(&str, &dyn Fn(usize) -> Fault); 4] = [
        ("kill", &kill),
        ("drain", &drain),
        ("wipe", &wipe),
        ("power loss", &all_lose_power),
    ];
    for (name, fault) in faults {
        // Given: version 6 of the configuration, which drops the service, is accepted while the job runs
        let mut fleet = Fleet::new(FleetSettings {
            change_interval_ms: 600,
            service_listing: ServiceListing::UpTo(5),
            ..FleetSettings::default()
        });
        submit_two_step_job(&mut fleet);
        fleet.run_until(SUBMIT_MS + 2000);
        assert!(fleet.acknowledged_configuration() > 5, "{name}");
        let scheduler = fleet.scheduler_node().expect("the job is scheduled");
        // When
        fleet.inject(&fault(scheduler));
        // Then
        fleet.run_until_done(fleet.now() + RUN_TIMEOUT_MS);
        check(&fleet, name);
    }
}

/// Guards against the same loss where the service is dropped and brought back again and again, and coordinators stop in
/// between.
#[googletest::test]
fn jobs_of_service_that_comes_and_goes_all_end() {
    for seed in 0..8 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(FleetSettings {
            service_listing: ServiceListing::Alternating(5),
            seed,
            ..FleetSettings::default()
        });
        for number in 0..20 {
            let at = SUBMIT_MS + number * 400;
            let job = fleet.random_job(&mut random, at);
            let ends_at = job.long_running.then_some(at + 4000);
            fleet.submit_at(at, job, ends_at);
        }
        while fleet.now() < 16_000 {
            fleet.run_until(fleet.now() + random.gen_range(800..2500));
            let node = fleet.scheduler_node().unwrap_or(0);
            let duration_ms = random.gen_range(100..1500);
            fleet.inject(&match random.gen_range(0..3) {
                0 => Fault::Kill { node, duration_ms },
                1 => Fault::Drain { node, duration_ms },
                _ => Fault::PowerLoss { node, duration_ms },
            });
        }
        fleet.run_until_done(fleet.now() + 2 * RUN_TIMEOUT_MS);
        check(&fleet, &format!("seed {seed}"));
    }
}
