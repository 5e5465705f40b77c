//! The command line.
use crate::{agent, coordinator, error::ProgramError, logging, proxy, settings::NodeSettings};
use bpaf::{Bpaf, Parser};
use std::path::PathBuf;

/// A cluster scheduler for jobs.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(parser))]
pub enum CommandLine {
    /// Serve clients: take jobs in, tell their state
    #[bpaf(command)]
    Proxy {
        #[bpaf(external)]
        settings_file: Option<PathBuf>,
    },
    /// Keep the link to the control plane and feed the proxy beside it
    #[bpaf(command)]
    Agent {
        #[bpaf(external)]
        settings_file: Option<PathBuf>,
    },
    /// Keep the state, place and start tasks
    #[bpaf(command)]
    Coordinator {
        #[bpaf(external)]
        settings_file: Option<PathBuf>,
    },
    /// Check a settings file and say what it means
    #[bpaf(command("settings-check"))]
    SettingsCheck {
        #[bpaf(external)]
        settings_file: Option<PathBuf>,
    },
}

fn settings_file() -> impl Parser<Option<PathBuf>> {
    bpaf::long("settings")
        .help("The settings file; else the one that MAGPIEGAP_BOOT names")
        .argument::<PathBuf>("FILE")
        .optional()
}

/// Reads the command line; ends the process where it is wrong or asks for help.
pub fn command_line() -> CommandLine {
    parser().run()
}

/// Runs what the command line asks for, until it ends.
///
/// # Errors
/// When the program can't start or go on.
pub fn run(command: &CommandLine) -> Result<(), ProgramError> {
    let (CommandLine::Proxy { settings_file }
    | CommandLine::Agent { settings_file }
    | CommandLine::Coordinator { settings_file }
    | CommandLine::SettingsCheck { settings_file }) = command;
    let file = NodeSettings::file(settings_file.clone())?;
    let settings = NodeSettings::read(&file)?;
    if let CommandLine::SettingsCheck { .. } = command {
        println!("{}: fine: {} on {}", file.display(), settings.role, settings.node_name);
        return Ok(());
    }
    logging::start(&settings.node_name);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| ProgramError::System { what: "the event loop", source })?;
    runtime.block_on(async {
        match command {
            CommandLine::Proxy { .. } => proxy::run(file, settings).await,
            CommandLine::Agent { .. } => agent::run(file, settings).await,
            CommandLine::Coordinator { .. } => coordinator::run(settings).await,
            CommandLine::SettingsCheck { .. } => Ok(()),
        }
    })
}
