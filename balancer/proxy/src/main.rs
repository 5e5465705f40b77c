//! The program `balancer-proxy`. All it does is in the library.
#![forbid(unsafe_code)]
use std::process::ExitCode;

fn main() -> ExitCode {
    balancer_proxy::main()
}
