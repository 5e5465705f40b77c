//! How long the scheduler's core takes for each run, against the number of workers and of tasks that can't be placed.
//!
//! `cargo run --profile system -p magpiegap-scheduler --example throughput`
//!
//! A scheduler between a log that commits at once and workers that reply at once: jobs of two tasks come, are placed,
//! started and listed as done. The time is that of the scheduler and of applying the log, without sockets, disks and
//! other replicas.
mod bench;

use bench::{step, Bench, WALL_MS};
use magpiegap_protocol::StepSpec;
use std::time::Instant;

const WORKERS: [usize; 5] = [50, 100, 200, 400, 800];
const WAITING: [u64; 3] = [0, 200, 1000];
/// Cores of a worker.
const CORES: u64 = 16;
/// Jobs played for each pair of sizes, of two tasks each.
const JOBS: u64 = 4000;
/// Jobs submitted at the same moment, before replies are taken.
const JOBS_AT_ONCE: u64 = 10;

/// Microseconds for each run.
fn play(workers: usize, waiting: u64) -> f64 {
    let mut bench = Bench::new(workers, CORES);
    for number in 0..waiting {
        // Requires a label that no worker has, and is unlike all before.
        let infeasible = StepSpec {
            requirements: vec!["none".to_owned()],
            ..step(1, 2000 - number)
        };
        bench.submit(1_000_000 + number, 1, vec![infeasible]);
    }
    bench.step();
    let began = Instant::now();
    for job in 0..JOBS {
        bench.submit(job + 1, 0, vec![step(2, 1000)]);
        if job % JOBS_AT_ONCE == 0 {
            bench.step();
        }
    }
    began.elapsed().as_secs_f64() * 1e6 / (2 * JOBS) as f64
}

/// Rounds of planning that are timed with all workers full.
const ROUNDS: u64 = 200;
/// Time between two of them, in milliseconds.
const ROUND_MS: u64 = 25;

/// Microseconds for a round of planning while all workers are full and so many jobs of two tasks are queued for capacity.
fn play_full(workers: usize, waiting: u64, priority: u32) -> f64 {
    let mut bench = Bench::new(workers, CORES);
    // Four runs on each worker, which never end.
    for number in 0..2 * workers as u64 {
        let long = StepSpec {
            estimated_ms: 60_000,
            ..step(2, 3900)
        };
        bench.submit(1_000_000 + number, 1, vec![long]);
    }
    bench.step();
    for number in 0..waiting {
        bench.submit(
            number + 1,
            priority,
            vec![step(2, 1000 + number * 7 % 4000)],
        );
    }
    bench.step();
    let began = Instant::now();
    for _ in 0..ROUNDS {
        bench.now += ROUND_MS;
        bench
            .scheduler
            .on_timeout(bench.now, WALL_MS + bench.now, &bench.state);
        bench.scheduler.poll_outputs();
        // Something completes, or comes, between any two rounds.
        bench.submit(2_000_000 + bench.now, 2, vec![step(1, 15_000)]);
    }
    began.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}

fn main() {
    println!("microseconds for a round of planning with all workers full");
    print!("{:>10}", "workers");
    for priority in [0, 2] {
        for waiting in WAITING {
            print!("{:>24}", format!("{waiting} of priority {priority}"));
        }
    }
    println!();
    for workers in WORKERS {
        print!("{workers:>10}");
        for priority in [0, 2] {
            for waiting in WAITING {
                print!("{:>24.1}", play_full(workers, waiting, priority));
            }
        }
        println!();
    }
    println!("microseconds for each run");
    print!("{:>10}", "workers");
    for waiting in WAITING {
        print!("{:>18}", format!("{waiting} wait in vain"));
    }
    println!();
    for workers in WORKERS {
        print!("{workers:>10}");
        for waiting in WAITING {
            print!("{:>18.1}", play(workers, waiting));
        }
        println!();
    }
}
