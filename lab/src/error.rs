//! Errors of files and addresses, shared by several layers of the lab.
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A file or folder that could not be read, written or created.
#[derive(Debug, Error)]
#[error("{}: {source}", path.display())]
pub struct FileError {
    /// The file or folder.
    pub path: PathBuf,
    /// The error of the operating system.
    pub source: io::Error,
}

impl FileError {
    /// Returns a function that adds the path to an error of the operating system, for `map_err`.
    pub(crate) fn at(path: &Path) -> impl FnOnce(io::Error) -> FileError + '_ {
        move |source| FileError {
            path: path.to_path_buf(),
            source,
        }
    }
}

/// An address that could not be bound.
#[derive(Debug, Error)]
#[error("failed to bind {address}: {source}")]
pub struct BindError {
    /// The address.
    pub address: SocketAddr,
    /// The error of the operating system.
    pub source: io::Error,
}

impl BindError {
    /// Returns a function that adds the address to an error of the operating system, for `map_err`.
    pub(crate) fn at(address: SocketAddr) -> impl FnOnce(io::Error) -> BindError {
        move |source| BindError { address, source }
    }
}
