//! The command line: its commands and their options. Doc comments are the text of its help.
use bpaf::{Bpaf, Parser};
use std::{net::SocketAddr, path::PathBuf};

/// A cluster scheduler for jobs.
#[expect(
    missing_docs,
    reason = "a doc comment on a field would become a line of the help text"
)]
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(parser))]
pub enum CommandLine {
    /// Serve clients: take jobs in, tell their state
    #[bpaf(command)]
    Proxy {
        #[bpaf(external)]
        settings_file: Option<PathBuf>,
    },
    /// Keep the link to the control plane and feed the proxy beside it
    #[bpaf(command)]
    Agent {
        #[bpaf(external)]
        settings_file: Option<PathBuf>,
    },
    /// Keep the state, place and start tasks
    #[bpaf(command)]
    Coordinator {
        #[bpaf(external)]
        settings_file: Option<PathBuf>,
    },
    /// Look at a settings file
    #[bpaf(command)]
    Settings(#[bpaf(external(settings_command))] SettingsCommand),
    /// Check, apply and read the configuration
    #[bpaf(command)]
    Config(#[bpaf(external(config_command))] ConfigCommand),
    /// Look at the cluster
    #[bpaf(command)]
    Cluster(#[bpaf(external(cluster_command))] ClusterCommand),
    /// Hand in, look at and cancel jobs
    #[bpaf(command)]
    Job(#[bpaf(external(job_command))] JobCommand),
    /// Look at a coordinator's state on disk
    #[bpaf(command)]
    State(#[bpaf(external(state_command))] StateCommand),
}

/// What to do with a settings file.
#[derive(Clone, Debug, Bpaf)]
pub enum SettingsCommand {
    /// Check it: all faults, what may not be meant, and fields that are not used
    #[bpaf(command)]
    Check {
        #[bpaf(external)]
        settings_file: Option<PathBuf>,
    },
}

/// What to do with the configuration.
#[derive(Clone, Debug, Bpaf)]
pub enum ConfigCommand {
    /// Check a file; nothing is sent anywhere
    #[bpaf(command)]
    Check {
        /// The configuration, as JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Make a file the configuration in force
    #[bpaf(command)]
    Apply {
        /// Any coordinator's control plane, IP:PORT
        #[bpaf(long, argument("ADDRESS"))]
        at: SocketAddr,
        /// The version that it builds on; 0 for the first
        #[bpaf(long, argument("VERSION"))]
        base: u64,
        /// The configuration, as JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the newest one
    #[bpaf(command)]
    Describe {
        /// Any coordinator's control plane, IP:PORT
        #[bpaf(long, argument("ADDRESS"))]
        at: SocketAddr,
    },
}

/// What to see of the cluster.
#[derive(Clone, Debug, Bpaf)]
pub enum ClusterCommand {
    /// View, chain, roles, workers and queues as one coordinator has them
    #[bpaf(command)]
    Status {
        /// As JSON
        #[bpaf(long)]
        json: bool,
        /// The coordinator's control plane, IP:PORT
        #[bpaf(long, argument("ADDRESS"))]
        at: SocketAddr,
    },
    /// Say of a job what runs, what waits and why no worker takes it, as JSON
    #[bpaf(command)]
    Explain {
        /// Any coordinator's control plane, IP:PORT
        #[bpaf(long, argument("ADDRESS"))]
        at: SocketAddr,
        /// The job's 16 hexadecimal digits
        #[bpaf(positional("JOB"))]
        job: String,
    },
}

/// Where a job is.
#[derive(Clone, Debug, Bpaf)]
pub struct JobTarget {
    /// Any proxy's address for clients, IP:PORT
    #[bpaf(long, argument("ADDRESS"))]
    pub(crate) at: SocketAddr,
    /// The queue's host
    #[bpaf(long, argument("HOST"))]
    pub(crate) host: String,
    /// The queue's prefix and the job's 16 hexadecimal digits
    #[bpaf(positional("PATH"))]
    pub(crate) path: String,
}

/// What to do with a job.
#[derive(Clone, Debug, Bpaf)]
pub enum JobCommand {
    /// Hand it in
    #[bpaf(command)]
    Submit {
        /// The job, as JSON
        #[bpaf(long, argument("FILE"))]
        file: PathBuf,
        #[bpaf(external)]
        job_target: JobTarget,
    },
    /// Print its state
    #[bpaf(command)]
    Status(#[bpaf(external(job_target))] JobTarget),
    /// Cancel it
    #[bpaf(command)]
    Cancel(#[bpaf(external(job_target))] JobTarget),
    /// List jobs as one coordinator has them
    #[bpaf(command)]
    List {
        /// As JSON
        #[bpaf(long)]
        json: bool,
        /// The coordinator's control plane, IP:PORT
        #[bpaf(long, argument("ADDRESS"))]
        at: SocketAddr,
        /// Of this queue only, as HOST/PREFIX/
        #[bpaf(long, argument("QUEUE"))]
        queue: Option<String>,
        /// In this state only: pending, running, succeeded, failed or cancelled
        #[bpaf(long, argument("STATE"))]
        state: Option<String>,
        /// Of those after this one in the order of their names
        #[bpaf(long, argument("JOB"))]
        after: Option<String>,
        /// At most so many; 100 if nothing is said
        #[bpaf(long, argument("COUNT"))]
        limit: Option<u32>,
    },
    /// Count the jobs of a queue that have not ended; PATH is its prefix
    #[bpaf(command)]
    Count(#[bpaf(external(job_target))] JobTarget),
}

/// What to see of a state on disk.
#[derive(Clone, Debug, Bpaf)]
pub enum StateCommand {
    /// Read it whole and look for contradictions; its coordinator must not run
    #[bpaf(command)]
    Check {
        /// The coordinator's data folder
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Say what it holds; its coordinator must not run
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
        .help("The settings file; else the one that MAGPIEGAP_BOOT names")
        .argument::<PathBuf>("FILE")
        .optional()
}

/// Reads the command line; ends the process where it is wrong or asks for help.
pub fn command_line() -> CommandLine {
    parser().run()
}
