//! The commands of the command line, implemented on top of the library.
mod arguments;
mod error;
mod run;
mod shared;

use arguments::{Capacity, Cli, Command};
use balancer_lab::capacity::sweep::Sweep;
use balancer_lab::capacity::table::markdown;
use balancer_lab::draw::{self, Plan};
use balancer_lab::error::FileError;
use balancer_lab::experiment::{self, Experiment};
use balancer_lab::guard::run_guard;
use balancer_lab::results::{compare, Results};
use balancer_lab::stand_in::{self, Misbehavior, Policy};
use clap::Parser;
use error::LabError;
use run::run_command;
use shared::{plan_of, runtime, Outcome};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Runs the command given on the command line.
pub(crate) fn run() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Run(run) => run_command(&run),
        Command::Compare { folder } => compare_plays(&folder),
        Command::Report { folder } => write_report(&folder),
        Command::List { folder } => list_experiments(&folder),
        Command::Check { files } => check_experiments(&files),
        Command::Capacity(capacity) => measure_capacity(capacity),
        Command::StandIn {
            policy,
            misbehavior,
        } => run_stand_in(policy, misbehavior),
        Command::Guard => {
            run_guard(std::io::stdin().lock());
            Ok(Outcome::Passed)
        }
    };
    match result {
        Ok(Outcome::Passed) => ExitCode::SUCCESS,
        Ok(Outcome::Failed) => ExitCode::from(1),
        Err(error) => {
            eprintln!("balancer-lab: {}", error.to_string().replace('\n', " "));
            ExitCode::from(2)
        }
    }
}

fn run_stand_in(policy: Policy, misbehavior: Option<Misbehavior>) -> Result<Outcome, LabError> {
    runtime(2)?.block_on(stand_in::run(policy, misbehavior))?;
    Ok(Outcome::Passed)
}

fn measure_capacity(arguments: Capacity) -> Result<Outcome, LabError> {
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
    Ok(Outcome::Passed)
}

fn open_results(folder: &Path) -> Result<(Results, Experiment, Plan), LabError> {
    let results = Results::open(folder)?;
    let (arguments, experiment) = results.arguments()?;
    let plan = draw::plan(&experiment, arguments.seed)?;
    Ok((results, experiment, plan))
}

fn compare_plays(folder: &Path) -> Result<Outcome, LabError> {
    let plays = Results::open(folder)?.plays()?;
    print!("{}", compare(&plays));
    Ok(Outcome::Passed)
}

fn write_report(folder: &Path) -> Result<Outcome, LabError> {
    let (results, experiment, plan) = open_results(folder)?;
    println!(
        "{}",
        results
            .report(&experiment, &plan, &results.plays()?)?
            .display()
    );
    Ok(Outcome::Passed)
}

fn list_experiments(folder: &Path) -> Result<Outcome, LabError> {
    let entries = std::fs::read_dir(folder).map_err(|source| FileError {
        path: folder.to_path_buf(),
        source,
    })?;
    let mut files: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    files.retain(|file| {
        file.extension()
            .is_some_and(|extension| extension == "toml")
    });
    files.sort();
    for file in files {
        match experiment::load(&file) {
            Ok(experiment) => println!("{:<40} {}", file.display(), experiment.title),
            Err(error) => println!("{:<40} invalid: {error}", file.display()),
        }
    }
    Ok(Outcome::Passed)
}

fn check_experiments(files: &[PathBuf]) -> Result<Outcome, LabError> {
    for file in files {
        let experiment = experiment::load(file)?;
        let plan = plan_of(file, &experiment, experiment.seed)?;
        println!(
            "{}: {} balancers, {} upstreams, {} requests, {} faults",
            file.display(),
            plan.balancers.len(),
            plan.upstreams.len(),
            plan.arrivals.len(),
            plan.faults.len()
        );
    }
    Ok(Outcome::Passed)
}
