//! The command line: subcommands and their arguments. Owns no state.
use crate::options::{self, Sources};
use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// A load balancer for service-to-service calls. Without a subcommand, it serves.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
struct Cli {
    #[command(subcommand)]
    verb: Option<Verb>,
}

/// The subcommand.
#[derive(Subcommand)]
pub(crate) enum Verb {
    /// Serve with the configuration in the JSON file that NODE_CONFIG names.
    Run(OptionArguments),
    /// Validate the configuration and the options, and print them with the source of each option. Exits with 0 if the
    /// balancer could start with them, 2 if not. Opens no socket.
    Check(OptionArguments),
    /// Inspect a state folder without changing it.
    State {
        #[command(subcommand)]
        verb: StateVerb,
    },
}

/// How a state folder is inspected.
#[derive(Subcommand)]
pub(crate) enum StateVerb {
    /// Print its records.
    Show {
        /// The state folder.
        dir: PathBuf,
    },
    /// Print its records, and exit with 0 if all of them are usable, 2 if not.
    Check {
        /// The state folder.
        dir: PathBuf,
    },
}

/// The sources of options named on the command line.
#[derive(clap::Args, Default)]
pub(crate) struct OptionArguments {
    /// The options file [default: the file that BALANCER_OPTIONS names, or none]
    #[arg(long, value_name = "FILE")]
    options: Option<PathBuf>,
    /// Set one option, overriding the file and the environment.
    #[arg(long, value_name = "KEY=VALUE")]
    set: Vec<String>,
}

impl OptionArguments {
    /// Returns the sources of the options. Without an argument, the file named by the environment is used.
    pub(crate) fn sources(self) -> Sources {
        let named_by = |variable: &str| {
            std::env::var_os(variable)
                .filter(|path| !path.is_empty())
                .map(PathBuf::from)
        };
        let current = self.options.or_else(|| named_by(options::FILE_VARIABLE));
        let deprecated_file = current.is_none();
        match current.or_else(|| named_by(options::DEPRECATED_FILE_VARIABLE)) {
            Some(file) => Sources {
                file: Some(file),
                deprecated_file,
                set: self.set,
            },
            None => Sources {
                file: None,
                deprecated_file: false,
                set: self.set,
            },
        }
    }
}

/// Parses the command line and returns the subcommand.
pub(crate) fn verb() -> Verb {
    // The platform starts the program without arguments; skipping the parser then saves its memory.
    let verb = if std::env::args_os().len() > 1 {
        Cli::parse().verb
    } else {
        None
    };
    verb.unwrap_or_else(|| Verb::Run(OptionArguments::default()))
}
