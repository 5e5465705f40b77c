//! Runs balancer_core balancers in the simulator: reads frames from standard input, writes replies to standard output.
#![forbid(unsafe_code)]
use balancer_simulator::{wire, BatchError, Host};
use std::io::{self, Write};
use std::process::ExitCode;

/// Error that ends the program before the end of its input.
#[derive(Debug, thiserror::Error)]
enum RunError {
    #[error(transparent)]
    Wire(#[from] wire::WireError),
    #[error("frame {frame}, {source}")]
    Batch { frame: u64, source: BatchError },
    #[error("writing the reply: {0}")]
    Write(#[source] io::Error),
}

fn run() -> Result<(), RunError> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    for number in 0.. {
        let Some(frame) = wire::read_frame(&mut input, number)? else {
            break;
        };
        let batch = wire::decode(&frame, number)?;
        let reply = host
            .handle_batch(&batch)
            .map_err(|source| RunError::Batch {
                frame: number,
                source,
            })?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(RunError::Write)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("balancer-simulator: {error}");
            ExitCode::FAILURE
        }
    }
}
