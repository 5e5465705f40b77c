//! Command-line arguments.
use balancer_lab::capacity::scenario::Dimension;
use balancer_lab::stand_in::{Misbehavior, Policy};
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::time::Duration;

/// Runs fleets of balancers against emulated upstreams, discovery and clients, and injects faults.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Run an experiment, check the rules and write a report. Exit status 0: passed; 1: a rule was violated, an
    /// expectation was missed, or the run is not valid; 2: an error such as invalid input.
    Run(Run),
    /// Print the differences between the programs of a run, for each play.
    Compare {
        /// The result folder of a run.
        folder: PathBuf,
    },
    /// Regenerate the report of a run.
    Report {
        /// The result folder of a run.
        folder: PathBuf,
    },
    /// List the experiments in a folder.
    List {
        /// The folder.
        #[arg(default_value = "lab/experiments")]
        folder: PathBuf,
    },
    /// Check experiment files without running them.
    Check {
        /// The experiment files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Measure the resource usage of a balancer as one dimension grows, and print samples and linear fits as Markdown.
    /// docs/CAPACITY.md is based on this output. The program is not built first: use a release build.
    Capacity(Capacity),
    /// Run a pass-through balancer. Started by the lab itself.
    #[command(hide = true)]
    StandIn {
        /// How to choose an upstream.
        #[arg(value_name = "CHOICE")]
        policy: Policy,
        /// The misbehavior to emulate.
        #[arg(long = "wrong", value_name = "WRONG")]
        misbehavior: Option<Misbehavior>,
    },
    /// Kill remaining child processes when standard input is closed. Started by the lab itself.
    #[command(hide = true)]
    Guard,
}

#[derive(clap::Args)]
pub(crate) struct Run {
    /// The experiment file.
    pub(crate) file: PathBuf,
    /// Use this seed instead of the one in the file.
    #[arg(long)]
    pub(crate) seed: Option<u64>,
    /// The result folder [default: the next unused folder below lab/results]
    #[arg(long)]
    pub(crate) out: Option<PathBuf>,
    /// Run this program; if given several times, the programs are run in turn with the same plan. NAME alone is one of
    /// `balancer` (the command in deploy/balancer.toml), `random`, `round-robin` [default: balancer]
    #[arg(long = "program", value_name = "NAME[=COMMAND]")]
    pub(crate) programs: Vec<String>,
    /// The command of a build of the experiment; by default the program under test.
    #[arg(long = "build", value_name = "NAME=COMMAND")]
    pub(crate) builds: Vec<String>,
    /// Run each program with this set of options, which override those of the experiment; if given several times, the
    /// sets are run in turn with the same plan: `--options on --options off='peers.on = false'`.
    #[arg(long = "options", value_name = "NAME[=KEY = VALUE, ...]")]
    pub(crate) options: Vec<String>,
    /// Number of plays per program.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=100))]
    pub(crate) plays: u16,
    /// Draw a new plan for each play, with consecutive seeds starting from the seed of the run.
    #[arg(long)]
    pub(crate) new_draws: bool,
    /// Do not build the program first.
    #[arg(long)]
    pub(crate) no_build: bool,
    /// Log level of the programs and the lab, on standard error: error, warn, info or debug.
    #[arg(long, default_value = "warn")]
    pub(crate) log: tracing::Level,
}

#[derive(clap::Args)]
pub(crate) struct Capacity {
    /// The dimension that grows.
    pub(crate) dimension: Dimension,
    /// The sizes to measure; at least four for a meaningful fit.
    #[arg(long, value_delimiter = ',', required = true)]
    pub(crate) sizes: Vec<usize>,
    /// Number of measurements per size.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=100))]
    pub(crate) runs: u16,
    /// Duration of each measurement, after a stabilization period.
    #[arg(long, default_value = "5s", value_parser = humantime::parse_duration)]
    pub(crate) span: Duration,
    /// The balancer program [default: balancer-proxy in the folder of this program]
    #[arg(long)]
    pub(crate) program: Option<PathBuf>,
    /// Folder for configurations and logs.
    #[arg(long, default_value = "lab/results/capacity")]
    pub(crate) out: PathBuf,
}
