//! A small cluster on loopback: real coordinators, proxies and agents, stand-ins for the platform and the workers.
#![forbid(unsafe_code)]

use bpaf::Args;
use magpiegap_demo::{options, story};
use std::process::ExitCode;

/// The scheduler's processes are started from this very program, so that one build makes all that the demo needs.
const ROLES: [&str; 3] = ["proxy", "agent", "coordinator"];

fn main() -> ExitCode {
    let first = std::env::args().nth(1);
    let outcome = match first.as_deref() {
        Some(role) if ROLES.contains(&role) => run_role(),
        _ => story::run(&options::read()).map_err(|error| error.to_string()),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("magpiegap-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_role() -> Result<(), String> {
    let parsed = magpiegap::parser().run_inner(Args::current_args());
    let command = parsed.map_err(|failure| format!("{failure:?}"))?;
    magpiegap::run(&command).map_err(|error| error.to_string())
}
