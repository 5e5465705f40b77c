//! What each verb of the command line does, and the codes that the process ends with. Owns no state.
use crate::check;
use crate::command_line::{self, StateVerb, Verb};
use crate::config::Config;
use crate::log::Logging;
use crate::one_line::one_line;
use crate::options::{Loaded, Sources};
use crate::recovery;
use crate::serve;
use std::process::ExitCode;

/// Unusable options, or a configuration or folder of state that a check finds unusable.
const UNUSABLE: u8 = 2;
/// A configuration that the balancer can't start with: EX_CONFIG of sysexits.h, which service managers know.
const UNUSABLE_CONFIGURATION: u8 = 78;
/// Whatever else the program cannot start with, or ended by.
const FAILED: u8 = 1;

/// Runs the program as its command line says.
pub fn main() -> ExitCode {
    match command_line::verb() {
        Verb::Run(arguments) => run(arguments.sources()),
        Verb::Check(arguments) => check(&arguments.sources()),
        Verb::State { verb } => state(&verb),
    }
}

/// Says on one line why the program ends.
fn failed(message: &str, code: u8) -> ExitCode {
    eprintln!("balancer-proxy: {}", one_line(message));
    ExitCode::from(code)
}

fn usable_options(sources: &Sources) -> Result<Loaded, String> {
    let loaded = sources.load()?;
    loaded.usable()?;
    Ok(loaded)
}

fn check(sources: &Sources) -> ExitCode {
    let loaded = match usable_options(sources) {
        Ok(loaded) => loaded,
        Err(message) => return failed(&message, UNUSABLE),
    };
    match Config::load() {
        Ok(config) => {
            print!("{}", check::told(&config, &loaded));
            ExitCode::SUCCESS
        }
        Err(message) => failed(&message, UNUSABLE),
    }
}

fn run(sources: Sources) -> ExitCode {
    let loaded = match usable_options(&sources) {
        Ok(loaded) => loaded,
        Err(message) => return failed(&message, UNUSABLE),
    };
    let config = match Config::load() {
        Ok(config) => config,
        Err(message) => return failed(&message, UNUSABLE_CONFIGURATION),
    };
    let logging = match Logging::start(&loaded.options.log) {
        Ok(logging) => logging,
        Err(message) => return failed(&message, FAILED),
    };
    for variable in &loaded.deprecated {
        tracing::warn!(target: "run", event = "deprecated_variable", variable, "{variable} is deprecated: its name begins with BALANCER_ now");
    }
    if !loaded.options.recovery.dir.as_os_str().is_empty() {
        quiet_panics();
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let done = runtime.map_err(|e| e.to_string()).and_then(|runtime| {
        let serving = serve::run(config, sources, loaded.options, &logging);
        tokio::task::LocalSet::new().block_on(&runtime, serving)
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            // What waits in the log goes first.
            drop(logging);
            failed(&message, FAILED)
        }
    }
}

fn state(verb: &StateVerb) -> ExitCode {
    quiet_panics();
    let (dir, checks) = match verb {
        StateVerb::Show { dir } => (dir, false),
        StateVerb::Check { dir } => (dir, true),
    };
    match recovery::shown(dir) {
        Ok((text, sound)) => {
            print!("{text}");
            if sound || !checks {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(UNUSABLE)
            }
        }
        Err(message) => failed(&message, UNUSABLE),
    }
}

/// A database whose bytes make no sense ends in a panic of its reader, which is caught and told of in one line where it
/// matters. The panic itself is told at debug.
fn quiet_panics() {
    std::panic::set_hook(Box::new(|panic| {
        let what = panic.to_string().replace('\n', " ");
        if std::thread::current().name() == Some("main") {
            tracing::error!(target: "run", event = "panic", what, "panic: {what}");
        } else {
            tracing::debug!(target: "recovery", event = "panic", what);
        }
    }));
}
