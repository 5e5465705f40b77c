//! Errors of capacity measurements.
use crate::error::{BindError, FileError};
use crate::net::BlockError;
use std::io;
use std::num::TryFromIntError;
use std::time::Duration;
use thiserror::Error;

/// Why a trial cannot be measured.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// No block of addresses is available.
    #[error(transparent)]
    Block(#[from] BlockError),
    /// An emulated component cannot listen.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// A file, folder or program cannot be accessed.
    #[error(transparent)]
    File(#[from] FileError),
    /// Another operation failed in the operating system.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The size exceeds the limits of the protocol.
    #[error(transparent)]
    Size(#[from] TryFromIntError),
    /// A balancer did not become ready in time.
    #[error("balancer {number} was not ready within {within:?}")]
    NotReady {
        /// Its number.
        number: usize,
        /// The time limit.
        within: Duration,
    },
    /// A balancer exited unexpectedly.
    #[error("a balancer exited unexpectedly")]
    Ended,
    /// The resource usage of a process cannot be read.
    #[error("cannot read the resource usage of process {pid}: {source}")]
    Accounting {
        /// The process.
        pid: u32,
        /// The cause.
        source: io::Error,
    },
    /// A client that opens an idle connection received no response.
    #[error("client {0} received no response")]
    NoResponse(usize),
    /// The configuration of a hollow member is invalid.
    #[error(transparent)]
    Member(#[from] balancer_gossip::ConfigError),
    /// The thread of the hollow tier has ended.
    #[error("the thread of the hollow tier has ended")]
    TierEnded,
    /// The real member of a tier sent no datagram in time.
    #[error("the real member sent no datagram in time")]
    NoDatagram,
}
