//! The arguments of the command line.
use balancer_lab::capacity::scenario::Dimension;
use balancer_lab::stand_in::{Misbehavior, Policy};
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::time::Duration;

/// Plays fleets of balancers between emulated upstreams, discovery and clients, with faults between them.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) verb: Verb,
}

#[derive(Subcommand)]
pub(crate) enum Verb {
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
pub(crate) struct Run {
    /// The experiment.
    pub(crate) file: PathBuf,
    /// Draw with this seed, not with the file's.
    #[arg(long)]
    pub(crate) seed: Option<u64>,
    /// Leave the results here [default: the next free folder below lab/results]
    #[arg(long)]
    pub(crate) out: Option<PathBuf>,
    /// Play this program; given several times, they are played in turn on the same draw. NAME alone is one of
    /// `balancer` (as deploy/balancer.toml names it), `random`, `round-robin` [default: balancer]
    #[arg(long = "program", value_name = "NAME[=COMMAND]")]
    pub(crate) programs: Vec<String>,
    /// What a build of the experiment runs; without it that is the program under test.
    #[arg(long = "build", value_name = "NAME=COMMAND")]
    pub(crate) builds: Vec<String>,
    /// Play each program with this set of options before the experiment's; given several times, the sets are played in
    /// turn on the same draw: `--options on --options off='peers.on = false'`.
    #[arg(long = "options", value_name = "NAME[=KEY = VALUE, ...]")]
    pub(crate) options: Vec<String>,
    /// Play each program so many times.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=100))]
    pub(crate) plays: u16,
    /// Draw anew for each play of the programs: the first with the seed, the next with the one after it, and so on.
    #[arg(long)]
    pub(crate) new_draws: bool,
    /// Do not build first.
    #[arg(long)]
    pub(crate) no_build: bool,
    /// Write the programs' and the lab's steps to standard error: error, warn, info or debug.
    #[arg(long, default_value = "warn")]
    pub(crate) log: tracing::Level,
}

#[derive(clap::Args)]
pub(crate) struct Capacity {
    /// What grows.
    pub(crate) dimension: Dimension,
    /// The sizes, four or more for a line that means something.
    #[arg(long, value_delimiter = ',', required = true)]
    pub(crate) sizes: Vec<usize>,
    /// Measure each size so many times.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=100))]
    pub(crate) runs: u16,
    /// Measure for so long each time, after everything has settled.
    #[arg(long, default_value = "5s", value_parser = humantime::parse_duration)]
    pub(crate) span: Duration,
    /// The balancer's program [default: balancer-proxy beside this program]
    #[arg(long)]
    pub(crate) program: Option<PathBuf>,
    /// Leave configurations and logs here.
    #[arg(long, default_value = "lab/results/capacity")]
    pub(crate) out: PathBuf,
}
