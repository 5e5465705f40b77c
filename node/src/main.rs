//! The program `herondock`. All it does is in the library.
#![forbid(unsafe_code)]
use std::process::ExitCode;

fn main() -> ExitCode {
    herondock::main()
}
