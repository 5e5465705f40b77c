//! The command-line program of the lab; the library implements the verbs.
#![forbid(unsafe_code)]
mod command_line;

use std::process::ExitCode;

fn main() -> ExitCode {
    command_line::run()
}
