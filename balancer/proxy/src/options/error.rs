//! Why options cannot be used. Owns no state.
use super::{InvalidOption, Source};
use crate::one_line::one_line;
use std::io;
use std::path::PathBuf;

/// Why options cannot be used; names the source and the key at fault.
#[derive(Debug, thiserror::Error)]
pub enum OptionsError {
    /// The file cannot be read.
    #[error("{}: {cause}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        #[source]
        cause: io::Error,
    },
    /// A variable of the environment is not text.
    #[error("{0}: not UTF-8")]
    NotUtf8(String),
    /// The file is not TOML.
    #[error("{}:{line}: {message}", path.display())]
    Syntax {
        /// The file.
        path: PathBuf,
        /// The line at fault.
        line: usize,
        /// What the parser says.
        message: String,
    },
    /// The file cannot be read as a table.
    #[error("{}: {}", path.display(), cause.message())]
    Table {
        /// The file.
        path: PathBuf,
        /// What the parser says.
        #[source]
        cause: toml::de::Error,
    },
    /// The file has a later form.
    #[error("{}:{line}: version: {found} is not known; this program reads 1 to {newest}", path.display())]
    Version {
        /// The file.
        path: PathBuf,
        /// The line of the version.
        line: usize,
        /// The version that it states.
        found: String,
        /// The newest that is supported.
        newest: i64,
    },
    /// A key is not known.
    #[error("{at}: {unknown}")]
    UnknownKey {
        /// The source.
        at: String,
        /// The key and a suggestion.
        unknown: UnknownKey,
    },
    /// A key goes through a value that is no table.
    #[error("{at}: {key}: no table")]
    NoTable {
        /// The source.
        at: Source,
        /// The key.
        key: String,
    },
    /// A value has the wrong type.
    #[error("{at}: {key}: {value}: {message}")]
    Type {
        /// The source.
        at: Source,
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// What the deserializer says.
        message: String,
    },
    /// A value is out of bounds.
    #[error("{at}: {key}: {value}: {cause}")]
    Invalid {
        /// The source.
        at: Source,
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// The rule that it breaks.
        #[source]
        cause: InvalidOption,
    },
    /// A flag has no value.
    #[error("--set {0}: no KEY=VALUE")]
    NoValue(String),
    /// A folder cannot be written to.
    #[error("{at}: {key}: {}: can't be written to: {cause}", dir.display())]
    NotWritable {
        /// The source.
        at: Source,
        /// The key.
        key: &'static str,
        /// The folder.
        dir: PathBuf,
        /// What the system says.
        #[source]
        cause: io::Error,
    },
    /// A key is fixed for as long as the program runs.
    #[error("{at}: {key}: can't change while the program runs")]
    Fixed {
        /// The source.
        at: Source,
        /// The key.
        key: &'static str,
    },
    /// The defaults cannot be written as a table.
    #[error("{0}")]
    Defaults(#[source] toml::ser::Error),
}

impl OptionsError {
    /// Returns the text for operators: one line of bounded length, but for the path of a file that cannot be read and for
    /// what was checked after reading.
    pub fn to_line(&self) -> String {
        match self {
            OptionsError::Read { .. }
            | OptionsError::NotWritable { .. }
            | OptionsError::Fixed { .. } => self.to_string(),
            _ => one_line(&self.to_string()),
        }
    }
}

/// A key that is not known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnknownKey {
    /// Its table is reserved for a later version.
    #[error("{key}: this version has no part {table:?}")]
    Later {
        /// The key.
        key: String,
        /// The table.
        table: String,
    },
    /// Probably a slip of the pen.
    #[error("{key}: unknown; the nearest known key is {nearest}")]
    Slip {
        /// The key.
        key: String,
        /// The most similar key.
        nearest: String,
    },
}
