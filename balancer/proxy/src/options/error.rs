//! Errors in options. Owns no state.
use super::{InvalidOption, Source};
use crate::one_line::one_line;
use std::io;
use std::path::PathBuf;

/// Why options are unusable; names the source and the invalid key.
#[derive(Debug, thiserror::Error)]
pub enum OptionsError {
    /// The file cannot be read.
    #[error("{}: {cause}", path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        #[source]
        cause: io::Error,
    },
    /// An environment variable is not UTF-8.
    #[error("{0}: not UTF-8")]
    NotUtf8(String),
    /// The file is not valid TOML.
    #[error("{}:{line}: {message}", path.display())]
    Syntax {
        /// The path of the file.
        path: PathBuf,
        /// The invalid line.
        line: usize,
        /// The error of the parser.
        message: String,
    },
    /// The file cannot be read as a table.
    #[error("{}: {}", path.display(), cause.message())]
    Table {
        /// The path of the file.
        path: PathBuf,
        /// The error of the parser.
        #[source]
        cause: toml::de::Error,
    },
    /// The file has a newer format version.
    #[error("{}:{line}: version: {found} is not supported; this program supports 1 to {newest}", path.display())]
    Version {
        /// The path of the file.
        path: PathBuf,
        /// The line that states the version.
        line: usize,
        /// The stated version.
        found: String,
        /// The newest supported version.
        newest: i64,
    },
    /// A key is unknown.
    #[error("{at}: {unknown}")]
    UnknownKey {
        /// The source.
        at: String,
        /// The key and a suggestion.
        unknown: UnknownKey,
    },
    /// A parent of the key is not a table.
    #[error("{at}: {key}: not a table")]
    NotATable {
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
        /// The error of the deserializer.
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
        /// The violated rule.
        #[source]
        cause: InvalidOption,
    },
    /// A flag is not of the form `KEY=VALUE`.
    #[error("--set {0}: expected KEY=VALUE")]
    NoValue(String),
    /// A folder is not writable.
    #[error("{at}: {key}: {}: not writable: {cause}", dir.display())]
    NotWritable {
        /// The source.
        at: Source,
        /// The key.
        key: &'static str,
        /// The folder.
        dir: PathBuf,
        /// The I/O error.
        #[source]
        cause: io::Error,
    },
    /// A key cannot change at runtime.
    #[error("{at}: {key}: cannot change at runtime")]
    Fixed {
        /// The source.
        at: Source,
        /// The key.
        key: &'static str,
    },
    /// The defaults cannot be converted to a table.
    #[error("{0}")]
    Defaults(#[source] toml::ser::Error),
}

impl OptionsError {
    /// Returns the message for operators, limited to one line of bounded length. Errors of unreadable files and of the
    /// checks after parsing are not limited.
    pub fn to_line(&self) -> String {
        match self {
            OptionsError::Read { .. }
            | OptionsError::NotWritable { .. }
            | OptionsError::Fixed { .. } => self.to_string(),
            _ => one_line(&self.to_string()),
        }
    }
}

/// An unknown key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnknownKey {
    /// Its table is reserved for a later version.
    #[error("{key}: this version has no table {table:?}")]
    ReservedTable {
        /// The key.
        key: String,
        /// The table.
        table: String,
    },
    /// Probably a misspelled key.
    #[error("{key}: unknown; the nearest known key is {nearest}")]
    Misspelled {
        /// The key.
        key: String,
        /// The most similar key.
        nearest: String,
    },
}
