//! The command line of the lab; what each verb does is in the library.
#![forbid(unsafe_code)]
mod command_line;

use std::process::ExitCode;

fn main() -> ExitCode {
    command_line::carry_out()
}
