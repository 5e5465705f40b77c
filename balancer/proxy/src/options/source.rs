//! Where an option came from. Owns no state.
use std::fmt;
use std::path::PathBuf;

/// Where an option came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// Nobody set it.
    Default,
    /// A line of the file.
    File(PathBuf, usize),
    /// A variable.
    Variable(String),
    /// `--set`
    Flag,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Default => f.write_str("default"),
            Source::File(path, line) => write!(f, "{}:{line}", path.display()),
            Source::Variable(name) => f.write_str(name),
            Source::Flag => f.write_str("--set"),
        }
    }
}
