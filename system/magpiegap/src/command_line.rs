//! Command-line commands and options. The doc comments are the `--help` text.
use bpaf::{Bpaf, Parser};
use std::{net::SocketAddr, path::PathBuf};

/// A cluster scheduler for jobs.
#[expect(
    missing_docs,
    reason = "a doc comment on a field would appear in the help text"
)]
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(parser))]
pub enum CommandLine {
    /// Run a proxy: accept jobs from clients and report their state
    #[bpaf(command)]
    Proxy {
        #[bpaf(external)]
        settings_file: Option<PathBuf>,
    },
    /// Run an agent: follow the control plane and relay its feed to the local proxy
    #[bpaf(command)]
    Agent {
        #[bpaf(external)]
        settings_file: Option<PathBuf>,
    },
    /// Run a coordinator: replicate the state, place and start tasks
    #[bpaf(command)]
    Coordinator {
        #[bpaf(external)]
        settings_file: Option<PathBuf>,
    },
    /// Inspect a settings file
    #[bpaf(command)]
    Settings(#[bpaf(external(settings_command))] SettingsCommand),
    /// Check, apply and read the configuration
    #[bpaf(command)]
    Config(#[bpaf(external(config_command))] ConfigCommand),
    /// Inspect the cluster
    #[bpaf(command)]
    Cluster(#[bpaf(external(cluster_command))] ClusterCommand),
    /// Submit, inspect and cancel jobs
    #[bpaf(command)]
    Job(#[bpaf(external(job_command))] JobCommand),
    /// Inspect a coordinator's state on disk
    #[bpaf(command)]
    State(#[bpaf(external(state_command))] StateCommand),
}

/// Subcommands of `settings`.
#[derive(Clone, Debug, Bpaf)]
pub enum SettingsCommand {
    /// Check the file: report all invalid fields, warnings and unused fields
    #[bpaf(command)]
    Check {
        #[bpaf(external)]
        settings_file: Option<PathBuf>,
    },
}

/// Subcommands of `config`.
#[derive(Clone, Debug, Bpaf)]
pub enum ConfigCommand {
    /// Check a file locally, without sending it to a coordinator
    #[bpaf(command)]
    Check {
        /// The configuration, as JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Apply a file as the new configuration
    #[bpaf(command)]
    Apply {
        /// Control plane address of any coordinator, IP:PORT
        #[bpaf(long, argument("ADDRESS"))]
        at: SocketAddr,
        /// The current version that this change replaces; 0 if there is none
        #[bpaf(long, argument("VERSION"))]
        base: u64,
        /// The configuration, as JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the newest configuration
    #[bpaf(command)]
    Describe {
        /// Control plane address of any coordinator, IP:PORT
        #[bpaf(long, argument("ADDRESS"))]
        at: SocketAddr,
    },
}

/// Subcommands of `cluster`.
#[derive(Clone, Debug, Bpaf)]
pub enum ClusterCommand {
    /// Show view, chain, roles, workers and queues as known by one coordinator
    #[bpaf(command)]
    Status {
        /// As JSON
        #[bpaf(long)]
        json: bool,
        /// Control plane address of the coordinator, IP:PORT
        #[bpaf(long, argument("ADDRESS"))]
        at: SocketAddr,
    },
    /// Explain a job's running and pending tasks, and why no worker accepts them, as JSON
    #[bpaf(command)]
    Explain {
        /// Control plane address of any coordinator, IP:PORT
        #[bpaf(long, argument("ADDRESS"))]
        at: SocketAddr,
        /// Job ID, 16 hexadecimal digits
        #[bpaf(positional("JOB"))]
        job: String,
    },
}

/// The proxy, host and path of a job or queue.
#[derive(Clone, Debug, Bpaf)]
pub struct JobTarget {
    /// Client address of any proxy, IP:PORT
    #[bpaf(long, argument("ADDRESS"))]
    pub(crate) at: SocketAddr,
    /// The queue's host
    #[bpaf(long, argument("HOST"))]
    pub(crate) host: String,
    /// The queue's path prefix followed by the job ID, 16 hexadecimal digits
    #[bpaf(positional("PATH"))]
    pub(crate) path: String,
}

/// Subcommands of `job`.
#[derive(Clone, Debug, Bpaf)]
pub enum JobCommand {
    /// Submit a job
    #[bpaf(command)]
    Submit {
        /// The job, as JSON
        #[bpaf(long, argument("FILE"))]
        file: PathBuf,
        #[bpaf(external)]
        job_target: JobTarget,
    },
    /// Print a job's state
    #[bpaf(command)]
    Status(#[bpaf(external(job_target))] JobTarget),
    /// Cancel a job
    #[bpaf(command)]
    Cancel(#[bpaf(external(job_target))] JobTarget),
    /// List jobs as known by one coordinator
    #[bpaf(command)]
    List {
        /// As JSON
        #[bpaf(long)]
        json: bool,
        /// Control plane address of the coordinator, IP:PORT
        #[bpaf(long, argument("ADDRESS"))]
        at: SocketAddr,
        /// Only jobs of this queue, as HOST/PREFIX/
        #[bpaf(long, argument("QUEUE"))]
        queue: Option<String>,
        /// Only jobs in this state: pending, running, succeeded, failed or cancelled
        #[bpaf(long, argument("STATE"))]
        state: Option<String>,
        /// Only jobs with IDs after this one
        #[bpaf(long, argument("JOB"))]
        after: Option<String>,
        /// Maximum number of jobs; 100 by default
        #[bpaf(long, argument("COUNT"))]
        limit: Option<u32>,
    },
    /// Count the unfinished jobs of a queue; PATH is the queue's path prefix
    #[bpaf(command)]
    Count(#[bpaf(external(job_target))] JobTarget),
}

/// Subcommands of `state`.
#[derive(Clone, Debug, Bpaf)]
pub enum StateCommand {
    /// Read the complete state and check its consistency; the coordinator must be stopped
    #[bpaf(command)]
    Check {
        /// The coordinator's data folder
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Show the content of the state; the coordinator must be stopped
    #[bpaf(command)]
    Show {
        /// As JSON
        #[bpaf(long)]
        json: bool,
        /// The coordinator's data folder
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
}

fn settings_file() -> impl Parser<Option<PathBuf>> {
    bpaf::long("settings")
        .help("Settings file; defaults to the path in MAGPIEGAP_BOOT")
        .argument::<PathBuf>("FILE")
        .optional()
}

/// Parses the command line; exits the process if it is invalid or requests help.
pub fn command_line() -> CommandLine {
    parser().run()
}
