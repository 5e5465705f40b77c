//! The source of an option. Owns no state.
use std::fmt;
use std::path::PathBuf;

/// The source of an option.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The default; it was not set.
    Default,
    /// A line of the options file.
    File(PathBuf, usize),
    /// An environment variable.
    Variable(String),
    /// A `--set` flag.
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
