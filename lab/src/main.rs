//! The command line of the lab; what each verb does is in the library.
#![forbid(unsafe_code)]
use balancer_lab::capacity::error::CapacityError;
use balancer_lab::capacity::scenario::Dimension;
use balancer_lab::capacity::sweep::Sweep;
use balancer_lab::capacity::table::markdown;
use balancer_lab::draw::{self, Plan, PlanError};
use balancer_lab::error::FileError;
use balancer_lab::experiment::{self, Experiment, ExperimentError};
use balancer_lab::guard::{stand_guard, Guard};
use balancer_lab::programs::{builds, deploy, programs, with_options, ProgramsError};
use balancer_lab::results::{compare, summary, Results, ResultsError, RunArguments};
use balancer_lab::run::{play, PlayError, Program, Stage};
use balancer_lab::stand_in::{self, Misbehavior, Policy, StandInError};
use clap::{Parser, Subcommand};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;

/// Plays fleets of balancers between emulated upstreams, discovery and clients, with faults between them.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
struct Cli {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Play an experiment, check the rules and write a report. Ends 0: held; 1: a rule was broken, an expectation
    /// missed, or the run does not count; 2: unusable input.
    Run(Run),
    /// Print the differences between the programs of a run, play by play.
    Compare {
        /// The folder of a run.
        folder: PathBuf,
    },
    /// Write the report of a run again.
    Report {
        /// The folder of a run.
        folder: PathBuf,
    },
    /// Name the experiments of a folder, a line each.
    List {
        /// The folder.
        #[arg(default_value = "lab/experiments")]
        folder: PathBuf,
    },
    /// Check experiment files without running them.
    Check {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Measure what a balancer costs as one thing grows, and print samples and lines as markdown. docs/CAPACITY.md
    /// has its metrics from here. The program is not built first: name a release build's.
    Capacity(Capacity),
    /// Be a pass-through balancer, as the platform would start one. The lab starts these itself.
    #[command(hide = true)]
    StandIn {
        /// How to choose.
        #[arg(value_name = "CHOICE")]
        policy: Policy,
        /// What to do wrong.
        #[arg(long = "wrong", value_name = "WRONG")]
        misbehavior: Option<Misbehavior>,
    },
    /// Kill what is left when standard input ends. The lab starts this itself.
    #[command(hide = true)]
    Guard,
}

#[derive(clap::Args)]
struct Run {
    /// The experiment.
    file: PathBuf,
    /// Draw with this seed, not with the file's.
    #[arg(long)]
    seed: Option<u64>,
    /// Leave the results here [default: the next free folder below lab/results]
    #[arg(long)]
    out: Option<PathBuf>,
    /// Play this program; given several times, they are played in turn on the same draw. NAME alone is one of
    /// `balancer` (as deploy/balancer.toml names it), `random`, `round-robin` [default: balancer]
    #[arg(long = "program", value_name = "NAME[=COMMAND]")]
    programs: Vec<String>,
    /// What a build of the experiment runs; without it that is the program under test.
    #[arg(long = "build", value_name = "NAME=COMMAND")]
    builds: Vec<String>,
    /// Play each program with this set of options before the experiment's; given several times, the sets are played in
    /// turn on the same draw: `--options on --options off='peers.on = false'`.
    #[arg(long = "options", value_name = "NAME[=KEY = VALUE, ...]")]
    options: Vec<String>,
    /// Play each program so many times.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=100))]
    plays: u16,
    /// Draw anew for each play of the programs: the first with the seed, the next with the one after it, and so on.
    #[arg(long)]
    new_draws: bool,
    /// Do not build first.
    #[arg(long)]
    no_build: bool,
    /// Write the programs' and the lab's steps to standard error: error, warn, info or debug.
    #[arg(long, default_value = "warn")]
    log: tracing::Level,
}

#[derive(clap::Args)]
struct Capacity {
    /// What grows.
    dimension: Dimension,
    /// The sizes, four or more for a line that means something.
    #[arg(long, value_delimiter = ',', required = true)]
    sizes: Vec<usize>,
    /// Measure each size so many times.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=100))]
    runs: u16,
    /// Measure for so long each time, after everything has settled.
    #[arg(long, default_value = "5s", value_parser = humantime::parse_duration)]
    span: Duration,
    /// The balancer's program [default: balancer-proxy beside this program]
    #[arg(long)]
    program: Option<PathBuf>,
    /// Leave configurations and logs here.
    #[arg(long, default_value = "lab/results/capacity")]
    out: PathBuf,
}

/// Why a verb could not be carried out. Its text is what the user reads.
#[derive(Debug, Error)]
enum LabError {
    #[error(transparent)]
    File(#[from] FileError),
    #[error(transparent)]
    System(#[from] io::Error),
    #[error("no deploy/balancer.toml here or above")]
    NoRepository,
    #[error("{command}: {status}")]
    Build {
        command: String,
        status: std::process::ExitStatus,
    },
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    #[error("{}: {source}", file.display())]
    PlanOf { file: PathBuf, source: PlanError },
    #[error(transparent)]
    Plan(#[from] PlanError),
    #[error(transparent)]
    Programs(#[from] ProgramsError),
    #[error(transparent)]
    Results(#[from] ResultsError),
    #[error(transparent)]
    Play(#[from] PlayError),
    #[error(transparent)]
    Capacity(#[from] CapacityError),
    #[error(transparent)]
    StandIn(#[from] StandInError),
}

/// How a verb ended.
enum End {
    Passed,
    Failed,
}

fn main() -> ExitCode {
    let done = match Cli::parse().verb {
        Verb::Run(run) => run_it(&run),
        Verb::Compare { folder } => compare_it(&folder),
        Verb::Report { folder } => report_it(&folder),
        Verb::List { folder } => list_it(&folder),
        Verb::Check { files } => check_them(&files),
        Verb::Capacity(capacity) => capacity_it(capacity),
        Verb::StandIn {
            policy,
            misbehavior,
        } => run_stand_in(policy, misbehavior),
        Verb::Guard => {
            stand_guard(std::io::stdin().lock());
            Ok(End::Passed)
        }
    };
    match done {
        Ok(End::Passed) => ExitCode::SUCCESS,
        Ok(End::Failed) => ExitCode::from(1),
        Err(error) => {
            eprintln!("balancer-lab: {}", error.to_string().replace('\n', " "));
            ExitCode::from(2)
        }
    }
}

fn run_stand_in(policy: Policy, misbehavior: Option<Misbehavior>) -> Result<End, LabError> {
    runtime(2)?.block_on(stand_in::run(policy, misbehavior))?;
    Ok(End::Passed)
}

fn runtime(threads: usize) -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
}

/// The repository: the folder with deploy/balancer.toml, here or above.
fn root() -> Result<PathBuf, LabError> {
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

/// The plan that a seed makes of an experiment file.
fn plan_of(file: &Path, e: &Experiment, seed: u64) -> Result<Plan, LabError> {
    draw::plan(e, seed).map_err(|source| LabError::PlanOf {
        file: file.to_path_buf(),
        source,
    })
}

/// Everything that the plays of a run share.
struct Prepared {
    experiment: Experiment,
    seed: u64,
    plan: Plan,
    root: PathBuf,
    programs: Vec<Program>,
    builds: BTreeMap<String, String>,
    results: Results,
}

/// Reads what is to be played, builds it, and makes the folder of its results.
fn prepare(run: &Run) -> Result<Prepared, LabError> {
    let experiment = experiment::load(&run.file)?;
    let seed = run.seed.unwrap_or(experiment.seed);
    let plan = plan_of(&run.file, &experiment, seed)?;
    let root = root()?;
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

/// Sets the returned flag at the first interrupt, or when the lab is told to end.
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

/// Plays every program as often as was asked for, in turn, and keeps each play. Returns whether it was stopped by hand.
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
            let folder = prepared.results.play(&program.name, number);
            let stage = Stage {
                root: &prepared.root,
                folder: &folder,
                guard,
                builds: &prepared.builds,
                stop: stopped.clone(),
                progress: true,
            };
            let played = play(&prepared.experiment, plan, program, number, &stage).await?;
            prepared.results.keep(&played)?;
        }
    }
    let is_stopped = *stopped.borrow();
    Ok(is_stopped)
}

fn run_it(run: &Run) -> Result<End, LabError> {
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
    // Half of the cores are for the balancers.
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
    Ok(if passed { End::Passed } else { End::Failed })
}

fn capacity_it(arguments: Capacity) -> Result<End, LabError> {
    let own = std::env::current_exe()?;
    let sweep = Sweep {
        dimension: arguments.dimension,
        sizes: arguments.sizes,
        runs: usize::from(arguments.runs),
        span: arguments.span,
        program: arguments
            .program
            .unwrap_or_else(|| own.with_file_name("balancer-proxy")),
        folder: arguments.out,
    };
    let samples = sweep.measure(|sample| eprintln!("{sample:?}"))?;
    print!("{}", markdown(&sweep.dimension.name(), &samples));
    Ok(End::Passed)
}

fn opened(folder: &Path) -> Result<(Results, Experiment, Plan), LabError> {
    let results = Results::open(folder)?;
    let (arguments, e) = results.arguments()?;
    let plan = draw::plan(&e, arguments.seed)?;
    Ok((results, e, plan))
}

fn compare_it(folder: &Path) -> Result<End, LabError> {
    let plays = Results::open(folder)?.plays()?;
    print!("{}", compare(&plays));
    Ok(End::Passed)
}

fn report_it(folder: &Path) -> Result<End, LabError> {
    let (results, e, plan) = opened(folder)?;
    println!(
        "{}",
        results.report(&e, &plan, &results.plays()?)?.display()
    );
    Ok(End::Passed)
}

fn list_it(folder: &Path) -> Result<End, LabError> {
    let entries = std::fs::read_dir(folder).map_err(|source| FileError {
        path: folder.to_path_buf(),
        source,
    })?;
    let mut files: Vec<PathBuf> = entries.flatten().map(|e| e.path()).collect();
    files.retain(|f| f.extension().is_some_and(|e| e == "toml"));
    files.sort();
    for file in files {
        match experiment::load(&file) {
            Ok(e) => println!("{:<40} {}", file.display(), e.title),
            Err(message) => println!("{:<40} unusable: {message}", file.display()),
        }
    }
    Ok(End::Passed)
}

fn check_them(files: &[PathBuf]) -> Result<End, LabError> {
    for file in files {
        let e = experiment::load(file)?;
        let plan = plan_of(file, &e, e.seed)?;
        println!(
            "{}: {} balancers, {} upstreams, {} requests, {} faults",
            file.display(),
            plan.balancers.len(),
            plan.upstreams.len(),
            plan.arrivals.len(),
            plan.faults.len()
        );
    }
    Ok(End::Passed)
}
