//! The `run` command: runs an experiment, checks the rules and writes a report.
use super::arguments::Run;
use super::error::LabError;
use super::shared::{plan_of, runtime, Outcome};
use balancer_lab::draw::{self, Plan};
use balancer_lab::experiment::{self, Experiment};
use balancer_lab::guard::Guard;
use balancer_lab::programs::{builds, deploy, programs, with_options};
use balancer_lab::results::{compare, summary, Results, RunArguments};
use balancer_lab::run::{play, PlayContext, Program};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;

/// Returns the root of the repository: the nearest folder upwards that contains deploy/balancer.toml.
fn repository_root() -> Result<PathBuf, LabError> {
    let here = std::env::current_dir()?;
    let found = here
        .ancestors()
        .find(|f| f.join("deploy/balancer.toml").is_file());
    found.map(Path::to_path_buf).ok_or(LabError::NoRepository)
}

fn build(root: &Path, command: &str) -> Result<(), LabError> {
    eprintln!("building: {command}");
    let status = std::process::Command::new("/bin/sh")
        .args(["-c", command])
        .current_dir(root)
        .status()?;
    if status.success() {
        return Ok(());
    }
    Err(LabError::Build {
        command: command.to_owned(),
        status,
    })
}

/// State shared by all plays of a run.
struct Prepared {
    experiment: Experiment,
    seed: u64,
    plan: Plan,
    root: PathBuf,
    programs: Vec<Program>,
    builds: BTreeMap<String, String>,
    results: Results,
}

/// Loads the experiment, builds the program and creates the result folder.
fn prepare(run: &Run) -> Result<Prepared, LabError> {
    let experiment = experiment::load(&run.file)?;
    let seed = run.seed.unwrap_or(experiment.seed);
    let plan = plan_of(&run.file, &experiment, seed)?;
    let root = repository_root()?;
    let deploy = deploy(&root)?;
    let (programs, built) = programs(&run.programs, &deploy)?;
    let programs = with_options(programs, &run.options)?;
    let builds = builds(&run.builds, &experiment)?;
    if built && !run.no_build {
        build(&root, &deploy.build)?;
    }
    let arguments = RunArguments {
        seed,
        programs: programs.iter().map(|p| p.name.clone()).collect(),
        plays: usize::from(run.plays),
        new_draws: run.new_draws,
    };
    let results = Results::create(&root, run.out.as_deref(), &run.file, &arguments)?;
    Ok(Prepared {
        experiment,
        seed,
        plan,
        root,
        programs,
        builds,
        results,
    })
}

/// Returns a flag that is set on SIGINT or SIGTERM.
fn stop_on_signal() -> watch::Receiver<bool> {
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(async move {
        let interrupt = signal(SignalKind::interrupt());
        let terminate = signal(SignalKind::terminate());
        if let (Ok(mut interrupt), Ok(mut terminate)) = (interrupt, terminate) {
            tokio::select! {
                _ = interrupt.recv() => {}
                _ = terminate.recv() => {}
            }
            stop.send_replace(true);
        }
    });
    stopped
}

/// Runs all plays of all programs in turn and stores each. Returns whether the run was stopped by a signal.
async fn play_all(run: &Run, prepared: &Prepared, guard: &Guard) -> Result<bool, LabError> {
    let stopped = stop_on_signal();
    for number in 0..usize::from(run.plays) {
        let drawn = match run.new_draws && number > 0 {
            true => Some(draw::plan(
                &prepared.experiment,
                prepared.seed.wrapping_add(number as u64),
            )?),
            false => None,
        };
        let plan = drawn.as_ref().unwrap_or(&prepared.plan);
        for program in &prepared.programs {
            if *stopped.borrow() {
                return Ok(true);
            }
            let folder = prepared.results.play_folder(&program.name, number);
            let context = PlayContext {
                root: &prepared.root,
                folder: &folder,
                guard,
                builds: &prepared.builds,
                stop: stopped.clone(),
                progress: true,
            };
            let played = play(&prepared.experiment, plan, program, number, &context).await?;
            prepared.results.store(&played)?;
        }
    }
    let is_stopped = *stopped.borrow();
    Ok(is_stopped)
}

pub(crate) fn run_command(run: &Run) -> Result<Outcome, LabError> {
    tracing_subscriber::fmt()
        .with_max_level(run.log)
        .with_writer(std::io::stderr)
        .init();
    let prepared = prepare(run)?;
    let plan = &prepared.plan;
    println!("{}", prepared.experiment.title);
    println!(
        "seed {}: {} balancers, {} upstreams, {} requests in {:.0} s, {} faults",
        prepared.seed,
        plan.balancers.len(),
        plan.upstreams.len(),
        plan.arrivals.len(),
        plan.length / 1000.0,
        plan.faults.len()
    );
    let guard = Guard::start(&std::env::current_exe()?)?;
    // The other half of the cores is left to the balancers.
    let cores = std::thread::available_parallelism().map_or(2, |n| n.get());
    let stopped = runtime((cores / 2).max(1))?.block_on(play_all(run, &prepared, &guard))?;
    let all = prepared.results.plays()?;
    print!("{}", summary(&all));
    if prepared.programs.len() > 1 {
        print!("\n{}", compare(&all));
    }
    let report = prepared.results.report(&prepared.experiment, plan, &all)?;
    println!("report: {}", report.display());
    let passed = !stopped && all.iter().all(|p| p.passed());
    Ok(if passed {
        Outcome::Passed
    } else {
        Outcome::Failed
    })
}
