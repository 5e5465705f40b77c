//! A small cluster on loopback: real coordinators, proxies and agents, a stub platform and emulated workers.
#![forbid(unsafe_code)]

use bpaf::{Args, ParseFailure};
use magpiegap::ProgramError;
use magpiegap_demo::{options, scenario, DemoError};
use std::process::ExitCode;

/// Roles of the scheduler's processes. They are started from this same executable, so that the demo needs no other
/// binary.
const ROLES: [&str; 3] = ["proxy", "agent", "coordinator"];

/// Errors that end the program.
#[derive(Debug, thiserror::Error)]
enum MainError {
    #[error(transparent)]
    Demo(#[from] DemoError),
    #[error(transparent)]
    Role(#[from] ProgramError),
    #[error("{0:?}")]
    CommandLine(ParseFailure),
}

fn main() -> ExitCode {
    let first_argument = std::env::args().nth(1);
    let outcome = match first_argument.as_deref() {
        Some(role) if ROLES.contains(&role) => run_role(),
        _ => scenario::run(&options::read()).map_err(MainError::from),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("magpiegap-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs one of the scheduler's processes.
fn run_role() -> Result<(), MainError> {
    let command = magpiegap::parser()
        .run_inner(Args::current_args())
        .map_err(MainError::CommandLine)?;
    Ok(magpiegap::run(&command)?)
}
