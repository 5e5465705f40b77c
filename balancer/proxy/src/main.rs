//! The `balancer-proxy` binary. The implementation is in the library.
#![forbid(unsafe_code)]
use std::process::ExitCode;

fn main() -> ExitCode {
    balancer_proxy::main()
}
