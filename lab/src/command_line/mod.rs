//! The verbs of the command line: what each does is in the library.
mod arguments;
mod error;
mod run;
mod shared;

use arguments::{Capacity, Cli, Verb};
use balancer_lab::capacity::sweep::Sweep;
use balancer_lab::capacity::table::markdown;
use balancer_lab::draw::{self, Plan};
use balancer_lab::error::FileError;
use balancer_lab::experiment::{self, Experiment};
use balancer_lab::guard::stand_guard;
use balancer_lab::results::{compare, Results};
use balancer_lab::stand_in::{self, Misbehavior, Policy};
use clap::Parser;
use error::LabError;
use run::run_it;
use shared::{plan_of, runtime, End};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Carries out what the command line asks for.
pub(crate) fn carry_out() -> ExitCode {
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
