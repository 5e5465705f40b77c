//! Entry point: parses the command line and runs the selected subcommand.
use std::process::ExitCode;

fn main() -> ExitCode {
    let command = magpiegap::command_line();
    match magpiegap::run(&command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("magpiegap: {error}");
            ExitCode::FAILURE
        }
    }
}
