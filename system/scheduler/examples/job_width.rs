//! How long the scheduler's core takes for each task, and for its longest turn, against the number of tasks of a job.
//!
//! `cargo run --profile system -p magpiegap-scheduler --example job_width`
//!
//! The same tasks come in jobs of different widths, all at once: as one step, as many steps of one task each, and as a
//! chain of steps of two tasks. A turn is one input: a submission, a step of time, or the replies of all workers at one moment.
mod bench;

use bench::{step, Bench};
use magpiegap_protocol::StepSpec;
use std::time::{Duration, Instant};

const WIDTHS: [u32; 5] = [40, 400, 2520, 8000, 20_000];
/// Tasks of all jobs together, about.
const TASKS: u32 = 20_000;
const WORKERS: usize = 6;
/// Cores of a worker; each task takes one.
const CORES: u64 = 64;
/// A play that takes longer is given up.
const MAX_PLAY: Duration = Duration::from_secs(20);

/// How the tasks of a job are divided among steps.
#[derive(Clone, Copy)]
enum Shape {
    OneStep,
    SingleTasks,
    Chain,
}

impl Shape {
    fn steps(self, width: u32) -> Vec<StepSpec> {
        match self {
            Shape::OneStep => vec![step(width, 1000)],
            Shape::SingleTasks => vec![step(1, 1000); width as usize],
            Shape::Chain => (0..width / 2)
                .map(|position| StepSpec {
                    depends_on: position.checked_sub(1).into_iter().collect(),
                    ..step(2, 1000)
                })
                .collect(),
        }
    }
}

/// Costs of a play; `None` if it was given up.
struct Cost {
    per_task_us: f64,
    longest_turn_ms: f64,
}

fn play(shape: Shape, width: u32) -> Option<Cost> {
    let mut bench = Bench::new(WORKERS, CORES);
    let jobs = TASKS.div_ceil(width);
    let began = Instant::now();
    let mut longest = Duration::ZERO;
    let mut timed = |turn: &mut dyn FnMut()| {
        let began = Instant::now();
        turn();
        longest = longest.max(began.elapsed());
    };
    for job in 0..jobs {
        let steps = shape.steps(width);
        timed(&mut || bench.submit(u64::from(job) + 1, 0, steps.clone()));
    }
    while !bench.state.open_jobs.is_empty() {
        timed(&mut || bench.step());
        if began.elapsed() > MAX_PLAY {
            return None;
        }
    }
    Some(Cost {
        per_task_us: began.elapsed().as_secs_f64() * 1e6 / f64::from(jobs * width),
        longest_turn_ms: longest.as_secs_f64() * 1e3,
    })
}

fn main() {
    println!("microseconds for each task / milliseconds of the longest turn");
    println!(
        "{:>10}{:>20}{:>20}{:>20}",
        "tasks", "one step", "single tasks", "chain"
    );
    for width in WIDTHS {
        print!("{width:>10}");
        for shape in [Shape::OneStep, Shape::SingleTasks, Shape::Chain] {
            let cost = play(shape, width).map_or("given up".to_owned(), |cost| {
                format!("{:.1} / {:.1}", cost.per_task_us, cost.longest_turn_ms)
            });
            print!("{cost:>20}");
        }
        println!();
    }
}
