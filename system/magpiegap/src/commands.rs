//! Runs command-line commands: the long-running processes and the operator commands.
use crate::{
    agent,
    command_line::{
        ClusterCommand, CommandLine, ConfigCommand, JobCommand, JobTarget, SettingsCommand,
        StateCommand,
    },
    coordinator,
    error::ProgramError,
    logging, operator,
    operator_call::{self, OperatorCall},
    proxy,
    settings::NodeSettings,
    settings_check::{self, SettingsReport},
    state_on_disk::StateOnDisk,
    tables,
};
use serde::de::DeserializeOwned;
use std::{future::Future, net::SocketAddr, path::PathBuf};

/// Runs a command to completion.
///
/// # Errors
/// When the process can't start or continue, or the command fails.
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
            // The report lists all faults; the exit status needs one error, so the first fault is returned.
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

/// Reads the settings of a process, starts logging and logs warnings about the settings.
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
            context: "the event loop",
            source,
        })?;
    Ok(runtime.block_on(future)?)
}

fn call_and_print(call: OperatorCall) -> Result<(), ProgramError> {
    let text = block_on(operator_call::call(call))?;
    if !text.is_empty() {
        println!("{text}");
    }
    Ok(())
}

/// Sends a GET request to a coordinator and prints the response.
fn print_response(at: SocketAddr, path: String) -> Result<(), ProgramError> {
    call_and_print(OperatorCall {
        method: "GET",
        address: Some(at),
        path,
        ..OperatorCall::default()
    })
}

/// Prints a coordinator's response, either as raw JSON or formatted as a table.
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
        address: Some(at),
        path,
        ..OperatorCall::default()
    }))?;
    let unreadable = |source| ProgramError::Description {
        address: at,
        source,
    };
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
            call_and_print(OperatorCall {
                method: "POST",
                address: Some(*at),
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

/// Sends a client request to a proxy and prints the response.
fn call_proxy(method: &'static str, target: &JobTarget, body: Vec<u8>) -> Result<(), ProgramError> {
    call_and_print(OperatorCall {
        method,
        address: Some(target.at),
        path: target.path.clone(),
        headers: vec![
            ("Host", target.host.clone()),
            ("Content-Type", "application/json".to_owned()),
        ],
        body,
    })
}
