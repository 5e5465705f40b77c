//! The subcommands and the exit codes of the process. Owns no state.
use crate::check;
use crate::command_line::{self, StateVerb, Verb};
use crate::config::Config;
use crate::log::Logging;
use crate::one_line::one_line;
use crate::options::{Loaded, OptionsError, Sources};
use crate::recovery;
use crate::serve::{self, ServeError};
use std::process::ExitCode;

/// Exit code for unusable options, or if a check finds the configuration or the state folder unusable.
const UNUSABLE: u8 = 2;
/// Exit code for a configuration that the balancer cannot start with: EX_CONFIG of sysexits.h, which service managers
/// recognize.
const UNUSABLE_CONFIGURATION: u8 = 78;
/// Exit code for all other failures.
const FAILED: u8 = 1;

/// Runs the subcommand on the command line and returns the exit code.
pub fn main() -> ExitCode {
    match command_line::verb() {
        Verb::Run(arguments) => run(arguments.sources()),
        Verb::Check(arguments) => check(&arguments.sources()),
        Verb::State { verb } => state(&verb),
    }
}

/// Prints an error on one line and returns the exit code.
fn fail(message: &str, code: u8) -> ExitCode {
    eprintln!("balancer-proxy: {}", one_line(message));
    ExitCode::from(code)
}

fn usable_options(sources: &Sources) -> Result<Loaded, OptionsError> {
    let loaded = sources.load()?;
    loaded.check_usable()?;
    Ok(loaded)
}

fn check(sources: &Sources) -> ExitCode {
    let loaded = match usable_options(sources) {
        Ok(loaded) => loaded,
        Err(error) => return fail(&error.to_line(), UNUSABLE),
    };
    match Config::load() {
        Ok(config) => {
            print!("{}", check::report(&config, &loaded));
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error.to_string(), UNUSABLE),
    }
}

fn run(sources: Sources) -> ExitCode {
    let loaded = match usable_options(&sources) {
        Ok(loaded) => loaded,
        Err(error) => return fail(&error.to_line(), UNUSABLE),
    };
    let config = match Config::load() {
        Ok(config) => config,
        Err(error) => return fail(&error.to_string(), UNUSABLE_CONFIGURATION),
    };
    let logging = match Logging::start(&loaded.options.log) {
        Ok(logging) => logging,
        Err(error) => return fail(&error.to_string(), FAILED),
    };
    for variable in &loaded.deprecated {
        tracing::warn!(target: "run", event = "deprecated_variable", variable, "{variable} is deprecated: use the prefix BALANCER_ instead");
    }
    if loaded.options.recovery.is_enabled() {
        install_panic_hook();
    }
    match serve(config, sources, loaded, &logging) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Writes the queued log lines first.
            drop(logging);
            fail(&error.to_string(), FAILED)
        }
    }
}

/// Serves on a new runtime.
fn serve(
    config: Config,
    sources: Sources,
    loaded: Loaded,
    logging: &Logging,
) -> Result<(), ServeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ServeError::Runtime)?;
    let serving = serve::run(config, sources, loaded.options, logging);
    tokio::task::LocalSet::new().block_on(&runtime, serving)
}

fn state(verb: &StateVerb) -> ExitCode {
    install_panic_hook();
    let (dir, must_be_usable) = match verb {
        StateVerb::Show { dir } => (dir, false),
        StateVerb::Check { dir } => (dir, true),
    };
    match recovery::inspect(dir) {
        Ok(inspection) => {
            print!("{}", inspection.text);
            if inspection.is_usable || !must_be_usable {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(UNUSABLE)
            }
        }
        Err(error) => fail(&error.to_string(), UNUSABLE),
    }
}

/// Logs panics. A corrupt database file can make its reader panic. That panic is caught and reported in one line by the
/// caller, so it is logged only at debug level here.
fn install_panic_hook() {
    std::panic::set_hook(Box::new(|panic| {
        let what = panic.to_string().replace('\n', " ");
        if std::thread::current().name() == Some("main") {
            tracing::error!(target: "run", event = "panic", what, "panic: {what}");
        } else {
            tracing::debug!(target: "recovery", event = "panic", what);
        }
    }));
}
