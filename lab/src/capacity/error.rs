//! Why a trial could not be measured.
use crate::error::{BindError, FileError};
use crate::net::BlockError;
use std::io;
use std::num::TryFromIntError;
use std::time::Duration;
use thiserror::Error;

/// A trial that could not be measured.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// There are no addresses.
    #[error(transparent)]
    Block(#[from] BlockError),
    /// A stand-in could not listen.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// A file, folder or program.
    #[error(transparent)]
    File(#[from] FileError),
    /// The operating system refused something else.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The size does not fit the protocol.
    #[error(transparent)]
    Size(#[from] TryFromIntError),
    /// A balancer did not get ready.
    #[error("balancer {number} is not ready after {within:?}")]
    NotReady {
        /// Which.
        number: usize,
        /// How long it had.
        within: Duration,
    },
    /// A balancer ended by itself.
    #[error("a balancer ended by itself")]
    Ended,
    /// The accounting of a process can't be read.
    #[error("process {pid}: {source}")]
    Accounting {
        /// The process.
        pid: u32,
        /// What the operating system says of it.
        source: io::Error,
    },
    /// A client that was to hold a connection got no response.
    #[error("client {0} got no answer")]
    NoResponse(usize),
    /// The settings of a hollow member are invalid.
    #[error(transparent)]
    Member(#[from] balancer_gossip::ConfigError),
    /// The thread of the hollow tier ended.
    #[error("the thread of the hollow tier ended")]
    TierEnded,
    /// The real member of a tier sent nothing.
    #[error("the real member sent no datagram")]
    NoDatagram,
}
