//! The command line: verbs and their arguments. Owns no state.
use crate::options::{self, Sources};
use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// A load balancer for services that call services. Without a verb it runs.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
struct Cli {
    #[command(subcommand)]
    verb: Option<Verb>,
}

/// What the program is asked to do.
#[derive(Subcommand)]
pub(crate) enum Verb {
    /// Serve, as the JSON file that NODE_CONFIG names says.
    Run(OptionArguments),
    /// Read the configuration and the options, print what they come to and where each option came from, and end:
    /// 0 if the balancer could start with them, 2 if not. Nothing listens.
    Check(OptionArguments),
    /// Look at a folder that state is kept in. Nothing in it is changed.
    State {
        #[command(subcommand)]
        verb: StateVerb,
    },
}

/// What is asked about a folder of kept state.
#[derive(Subcommand)]
pub(crate) enum StateVerb {
    /// Print what it holds.
    Show {
        /// The folder.
        dir: PathBuf,
    },
    /// Print what it holds, and end 0 if all of it can be used, 2 if not.
    Check {
        /// The folder.
        dir: PathBuf,
    },
}

/// Where options come from, as the command line says it.
#[derive(clap::Args, Default)]
pub(crate) struct OptionArguments {
    /// The options file [default: what BALANCER_OPTIONS names, or none]
    #[arg(long, value_name = "FILE")]
    options: Option<PathBuf>,
    /// Set one option, whatever file and environment say.
    #[arg(long, value_name = "KEY=VALUE")]
    set: Vec<String>,
}

impl OptionArguments {
    /// The sources of the options; the environment names the file where no argument does.
    pub(crate) fn sources(self) -> Sources {
        let named_by = |variable: &str| {
            std::env::var_os(variable)
                .filter(|path| !path.is_empty())
                .map(PathBuf::from)
        };
        let current = self.options.or_else(|| named_by(options::FILE_VARIABLE));
        let deprecated_file = current.is_none();
        match current.or_else(|| named_by(options::OLD_FILE_VARIABLE)) {
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

/// What the command line asks for.
pub(crate) fn verb() -> Verb {
    // The platform starts it with no word at all: what that needs of memory is what the balancer itself needs.
    let verb = if std::env::args_os().len() > 1 {
        Cli::parse().verb
    } else {
        None
    };
    verb.unwrap_or_else(|| Verb::Run(OptionArguments::default()))
}
