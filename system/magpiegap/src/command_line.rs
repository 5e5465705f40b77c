//! The command line.
use crate::{
    agent, coordinator,
    error::ProgramError,
    logging, operator,
    operator_call::{self, OperatorCall},
    proxy,
    settings::NodeSettings,
    settings_check::{self, SettingsReport},
    state_on_disk::StateOnDisk,
    tables,
};
use bpaf::{Bpaf, Parser};
use serde::de::DeserializeOwned;
use std::{future::Future, net::SocketAddr, path::PathBuf};

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
    at: SocketAddr,
    /// The queue's host
    #[bpaf(long, argument("HOST"))]
    host: String,
    /// The queue's prefix and the job's 16 hexadecimal digits
    #[bpaf(positional("PATH"))]
    path: String,
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

/// Runs what the command line asks for, until it ends.
///
/// # Errors
/// When the program can't start or go on, or what was asked for has failed.
pub fn run(command: &CommandLine) -> Result<(), ProgramError> {
    match command {
        CommandLine::Proxy { settings_file } => {
            let (file, settings) = start_process(settings_file)?;
            block_on(proxy::run(file, settings))
        }
        CommandLine::Agent { settings_file } => {
            let (file, settings) = start_process(settings_file)?;
            block_on(agent::run(file, settings))
        }
        CommandLine::Coordinator { settings_file } => {
            let (file, settings) = start_process(settings_file)?;
            block_on(coordinator::run(file, settings))
        }
        CommandLine::Settings(SettingsCommand::Check { settings_file }) => {
            let file = NodeSettings::file(settings_file.clone())?;
            let report = SettingsReport::of(&file)?;
            println!("{}: {report}", file.display());
            // The first fault is the error.
            match report.faults.first() {
                None => Ok(()),
                Some(fault) => Err(fault.in_file(&file).into()),
            }
        }
        CommandLine::Config(command) => config(command),
        CommandLine::Cluster(ClusterCommand::Status { at, json }) => print_table(
            *at,
            "/-/Cluster.Describe".to_owned(),
            *json,
            tables::cluster,
        ),
        CommandLine::Cluster(ClusterCommand::Explain { at, job }) => {
            print_response(*at, format!("/-/Job.Explain/{job}"))
        }
        CommandLine::Job(command) => job(command),
        CommandLine::State(command) => state(command),
    }
}

/// Reads the settings of a process and starts its log.
fn start_process(named: &Option<PathBuf>) -> Result<(PathBuf, NodeSettings), ProgramError> {
    let file = NodeSettings::file(named.clone())?;
    let settings = NodeSettings::read(&file)?;
    logging::start(&settings.node_name);
    for warning in settings_check::warnings(&settings) {
        log::warn!("{warning}");
    }
    Ok((file, settings))
}

fn block_on<T, E>(future: impl Future<Output = Result<T, E>>) -> Result<T, ProgramError>
where
    ProgramError: From<E>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| ProgramError::System {
            what: "the event loop",
            source,
        })?;
    Ok(runtime.block_on(future)?)
}

fn print_call(call: OperatorCall) -> Result<(), ProgramError> {
    let text = block_on(operator_call::call(call))?;
    if !text.is_empty() {
        println!("{text}");
    }
    Ok(())
}

/// Prints a coordinator's response.
fn print_response(at: SocketAddr, path: String) -> Result<(), ProgramError> {
    print_call(OperatorCall {
        method: "GET",
        at: Some(at),
        path,
        ..OperatorCall::default()
    })
}

/// Prints a coordinator's response, as it comes or as a table.
fn print_table<T: DeserializeOwned>(
    at: SocketAddr,
    path: String,
    json: bool,
    table: impl Fn(&T) -> String,
) -> Result<(), ProgramError> {
    if json {
        return print_response(at, path);
    }
    let text = block_on(operator_call::call(OperatorCall {
        method: "GET",
        at: Some(at),
        path,
        ..OperatorCall::default()
    }))?;
    let unreadable = |source| ProgramError::Description { at, source };
    print!(
        "{}",
        table(&serde_json::from_str(&text).map_err(unreadable)?)
    );
    Ok(())
}

fn state(command: &StateCommand) -> Result<(), ProgramError> {
    match command {
        StateCommand::Check { folder } => {
            let state = StateOnDisk::read(folder)?;
            println!("{}", state.summary());
            state
                .contradictions
                .iter()
                .for_each(|contradiction| println!("{contradiction}"));
            match state.contradictions.len() {
                0 => Ok(()),
                count => Err(ProgramError::Contradictions(count)),
            }
        }
        StateCommand::Show { folder, json } => {
            let state = StateOnDisk::read(folder)?;
            match json {
                true => println!("{}", serde_json::to_string(&state).unwrap_or_default()),
                false => print!("{state}"),
            }
            Ok(())
        }
    }
}

fn config(command: &ConfigCommand) -> Result<(), ProgramError> {
    match command {
        ConfigCommand::Check { file } => {
            println!("{}", operator::check_configuration(file)?);
            Ok(())
        }
        ConfigCommand::Apply { at, base, file } => {
            operator::check_configuration(file)?;
            print_call(OperatorCall {
                method: "POST",
                at: Some(*at),
                path: "/-/Config.Replace".to_owned(),
                headers: vec![
                    ("Base-Version", base.to_string()),
                    ("Content-Type", "application/json".to_owned()),
                ],
                body: operator::read_file(file)?,
            })
        }
        ConfigCommand::Describe { at } => print_response(*at, "/-/Config.Describe".to_owned()),
    }
}

fn job(command: &JobCommand) -> Result<(), ProgramError> {
    match command {
        JobCommand::Submit { file, job_target } => {
            call_proxy("POST", job_target, operator::read_file(file)?)
        }
        JobCommand::Status(target) | JobCommand::Count(target) => {
            call_proxy("GET", target, Vec::new())
        }
        JobCommand::Cancel(target) => call_proxy("DELETE", target, Vec::new()),
        JobCommand::List {
            json,
            at,
            queue,
            state,
            after,
            limit,
        } => {
            let limit = limit.map(|limit| limit.to_string());
            let fields = [
                ("queue", queue),
                ("state", state),
                ("after", after),
                ("limit", &limit),
            ];
            let path = format!("/-/Job.List?{}", operator_call::query(&fields));
            print_table(*at, path, *json, tables::jobs)
        }
    }
}

/// Makes a client's call to a proxy, and prints the response.
fn call_proxy(method: &'static str, target: &JobTarget, body: Vec<u8>) -> Result<(), ProgramError> {
    print_call(OperatorCall {
        method,
        at: Some(target.at),
        path: target.path.clone(),
        headers: vec![
            ("Host", target.host.clone()),
            ("Content-Type", "application/json".to_owned()),
        ],
        body,
    })
}
