//! The command line.
use crate::{
    agent, coordinator,
    error::ProgramError,
    logging,
    operator::{self, Call},
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
    Settings(#[bpaf(external(settings_verb))] SettingsVerb),
    /// Check, apply and read the configuration
    #[bpaf(command)]
    Config(#[bpaf(external(config_verb))] ConfigVerb),
    /// Look at the cluster
    #[bpaf(command)]
    Cluster(#[bpaf(external(cluster_verb))] ClusterVerb),
    /// Hand in, look at and cancel jobs
    #[bpaf(command)]
    Job(#[bpaf(external(job_verb))] JobVerb),
    /// Look at a coordinator's state on disk
    #[bpaf(command)]
    State(#[bpaf(external(state_verb))] StateVerb),
}

/// What to do with a settings file.
#[derive(Clone, Debug, Bpaf)]
pub enum SettingsVerb {
    /// Check it: all faults, what may not be meant, and fields that are not used
    #[bpaf(command)]
    Check {
        #[bpaf(external)]
        settings_file: Option<PathBuf>,
    },
}

/// What to do with the configuration.
#[derive(Clone, Debug, Bpaf)]
pub enum ConfigVerb {
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
pub enum ClusterVerb {
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
pub struct JobPlace {
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
pub enum JobVerb {
    /// Hand it in
    #[bpaf(command)]
    Submit {
        /// The job, as JSON
        #[bpaf(long, argument("FILE"))]
        file: PathBuf,
        #[bpaf(external)]
        job_place: JobPlace,
    },
    /// Print its state
    #[bpaf(command)]
    Status(#[bpaf(external(job_place))] JobPlace),
    /// Cancel it
    #[bpaf(command)]
    Cancel(#[bpaf(external(job_place))] JobPlace),
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
    Count(#[bpaf(external(job_place))] JobPlace),
}

/// What to see of a state on disk.
#[derive(Clone, Debug, Bpaf)]
pub enum StateVerb {
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
            let (file, settings) = process(settings_file)?;
            block_on(proxy::run(file, settings))
        }
        CommandLine::Agent { settings_file } => {
            let (file, settings) = process(settings_file)?;
            block_on(agent::run(file, settings))
        }
        CommandLine::Coordinator { settings_file } => {
            let (file, settings) = process(settings_file)?;
            block_on(coordinator::run(file, settings))
        }
        CommandLine::Settings(SettingsVerb::Check { settings_file }) => {
            let file = NodeSettings::file(settings_file.clone())?;
            let report = SettingsReport::of(&file)?;
            println!("{}: {report}", file.display());
            // The first fault is the error.
            match report.faults.first() {
                None => Ok(()),
                Some(fault) => Err(fault.in_file(&file).into()),
            }
        }
        CommandLine::Config(verb) => config(verb),
        CommandLine::Cluster(ClusterVerb::Status { at, json }) => show(
            *at,
            "/-/Cluster.Describe".to_owned(),
            *json,
            tables::cluster,
        ),
        CommandLine::Cluster(ClusterVerb::Explain { at, job }) => {
            look(*at, format!("/-/Job.Explain/{job}"))
        }
        CommandLine::Job(verb) => job(verb),
        CommandLine::State(verb) => state(verb),
    }
}

/// Reads the settings of a process and starts its log.
fn process(named: &Option<PathBuf>) -> Result<(PathBuf, NodeSettings), ProgramError> {
    let file = NodeSettings::file(named.clone())?;
    let settings = NodeSettings::read(&file)?;
    logging::start(&settings.node_name);
    for warning in settings_check::warnings(&settings) {
        log::warn!("{warning}");
    }
    Ok((file, settings))
}

fn block_on<T>(work: impl Future<Output = Result<T, ProgramError>>) -> Result<T, ProgramError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| ProgramError::System {
            what: "the event loop",
            source,
        })?;
    runtime.block_on(work)
}

fn print_call(call: Call) -> Result<(), ProgramError> {
    let text = block_on(operator::call(call))?;
    if !text.is_empty() {
        println!("{text}");
    }
    Ok(())
}

/// Prints what a coordinator answers to a question.
fn look(at: SocketAddr, path: String) -> Result<(), ProgramError> {
    print_call(Call {
        method: "GET",
        at: Some(at),
        path,
        ..Call::default()
    })
}

/// Prints what a coordinator answers to a question, as it comes or as a table.
fn show<T: DeserializeOwned>(
    at: SocketAddr,
    path: String,
    json: bool,
    table: impl Fn(&T) -> String,
) -> Result<(), ProgramError> {
    if json {
        return look(at, path);
    }
    let text = block_on(operator::call(Call {
        method: "GET",
        at: Some(at),
        path,
        ..Call::default()
    }))?;
    let unreadable = |error: serde_json::Error| ProgramError::Server(format!("{at}: {error}"));
    print!(
        "{}",
        table(&serde_json::from_str(&text).map_err(unreadable)?)
    );
    Ok(())
}

fn state(verb: &StateVerb) -> Result<(), ProgramError> {
    match verb {
        StateVerb::Check { folder } => {
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
        StateVerb::Show { folder, json } => {
            let state = StateOnDisk::read(folder)?;
            match json {
                true => println!("{}", serde_json::to_string(&state).unwrap_or_default()),
                false => print!("{state}"),
            }
            Ok(())
        }
    }
}

fn config(verb: &ConfigVerb) -> Result<(), ProgramError> {
    match verb {
        ConfigVerb::Check { file } => {
            println!("{}", operator::check_configuration(file)?);
            Ok(())
        }
        ConfigVerb::Apply { at, base, file } => {
            operator::check_configuration(file)?;
            print_call(Call {
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
        ConfigVerb::Describe { at } => look(*at, "/-/Config.Describe".to_owned()),
    }
}

fn job(verb: &JobVerb) -> Result<(), ProgramError> {
    let (method, place, body) = match verb {
        JobVerb::List {
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
            let path = format!("/-/Job.List?{}", operator::query(&fields));
            return show(*at, path, *json, tables::jobs);
        }
        JobVerb::Submit { file, job_place } => ("POST", job_place, operator::read_file(file)?),
        JobVerb::Status(place) | JobVerb::Count(place) => ("GET", place, Vec::new()),
        JobVerb::Cancel(place) => ("DELETE", place, Vec::new()),
    };
    print_call(Call {
        method,
        at: Some(place.at),
        path: place.path.clone(),
        headers: vec![
            ("Host", place.host.clone()),
            ("Content-Type", "application/json".to_owned()),
        ],
        body,
    })
}
