//! herondock: a load balancer on real sockets. Start-up, signals and wiring; see the README.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod callers;
mod check;
mod config;
mod discovery;
mod driver;
mod ending;
mod figures;
mod held;
mod listing;
mod log;
mod message;
mod options;
mod peers;
mod recovery;
mod reload;
mod snapshots;
mod sockets;
mod upstream;

use callers::{Phase, Server};
use clap::{Parser, Subcommand};
use config::Config;
use discovery::Discovery;
use driver::{Handle, Parts};
use figures::Figures;
use held::Held;
use listing::Names;
use log::Logging;
use oakflow::Balancer;
use options::{Options, Sources};
use peers::Tier;
use recovery::{Recovered, Start};
use reload::Reload;
use sockets::Sockets;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::time::Instant;

/// A load balancer for services that call services. Without a verb it runs.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
struct Cli {
    #[command(subcommand)]
    verb: Option<Verb>,
}

#[derive(Subcommand)]
enum Verb {
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

#[derive(Subcommand)]
enum StateVerb {
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

#[derive(clap::Args, Default)]
struct OptionArguments {
    /// The options file [default: what HERONDOCK_OPTIONS names, or none]
    #[arg(long, value_name = "FILE")]
    options: Option<PathBuf>,
    /// Set one option, whatever file and environment say.
    #[arg(long, value_name = "KEY=VALUE")]
    set: Vec<String>,
}

impl OptionArguments {
    fn sources(self) -> Sources {
        let named = || std::env::var_os(options::FILE).filter(|path| !path.is_empty()).map(PathBuf::from);
        Sources { file: self.options.or_else(named), set: self.set }
    }
}

/// Unusable options, or a configuration that `check` finds unusable.
const UNUSABLE: u8 = 2;

fn main() -> ExitCode {
    // The platform starts it with no word at all: what that needs of memory is what the balancer itself needs.
    let verb = if std::env::args_os().len() > 1 { Cli::parse().verb } else { None };
    let (check, arguments) = match verb {
        None => (false, OptionArguments::default()),
        Some(Verb::Run(arguments)) => (false, arguments),
        Some(Verb::Check(arguments)) => (true, arguments),
        Some(Verb::State { verb }) => return state(&verb),
    };
    let sources = arguments.sources();
    let failed = |message: String, code: u8| {
        eprintln!("herondock: {}", message.replace('\n', " "));
        ExitCode::from(code)
    };
    let loaded = match sources.load().and_then(|loaded| loaded.usable().map(|()| loaded)) {
        Ok(loaded) => loaded,
        Err(message) => return failed(message, UNUSABLE),
    };
    if check {
        return match Config::load() {
            Ok(config) => {
                print!("{}", check::told(&config, &loaded));
                ExitCode::SUCCESS
            }
            Err(message) => failed(message, UNUSABLE),
        };
    }
    let logging = match Logging::start(&loaded.options.log) {
        Ok(logging) => logging,
        Err(message) => return failed(message, 1),
    };
    if !loaded.options.recovery.dir.as_os_str().is_empty() {
        quiet_panics();
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let done = Config::load().and_then(|config| {
        let runtime = runtime.map_err(|e| e.to_string())?;
        tokio::task::LocalSet::new().block_on(&runtime, run(config, sources, loaded.options, &logging))
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            // What waits in the log goes first.
            drop(logging);
            failed(message, 1)
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
        Err(message) => {
            eprintln!("herondock: {}", message.replace('\n', " "));
            ExitCode::from(UNUSABLE)
        }
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

async fn run(config: Config, sources: Sources, options: Options, logging: &Logging) -> Result<(), String> {
    let (start, start_ms) = (Instant::now(), driver::unix_ms());
    let Config { name, listen, discovery, seed, sockets, known, peers, deployment } = config;
    let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    let mut hup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    let balancer = Balancer::new(deployment.policy.clone(), seed, start_ms).map_err(|e| e.to_string())?;
    let span = |ms: f64| Duration::from_secs_f64(ms / 1000.0);
    let budget = Sockets::new(sockets);
    let transport = upstream::Transport::new(
        span(deployment.dial_timeout),
        span(deployment.policy.idle_close.min(86_400_000.0)),
        budget.clone(),
    );
    let on = options.figures.on();
    let file = match options.figures.dir.as_path() {
        dir if dir.as_os_str().is_empty() => None,
        dir => Some(figures::File::start(dir)?),
    };
    let names = Names::of(&deployment);
    let kept = match options.recovery.dir.as_path() {
        dir if dir.as_os_str().is_empty() => Recovered::default(),
        _ => {
            let owner = recovery::owner(&name, &deployment);
            recovery::open(&options.recovery, owner, &names, &deployment.policy)
        }
    };
    // The platform's word goes first, unless this balancer has heard a later one.
    let known = match (known, kept.list) {
        (Some(known), Some(kept)) if kept.version > known.version => Some(kept),
        (None, kept) => kept,
        (known, _) => known,
    };
    let handle = Handle::new(Parts {
        balancer,
        start,
        start_ms,
        transport,
        max_open: usize::try_from(deployment.max_open).unwrap_or(usize::MAX),
        figures: on.then(|| Figures::new(&name, &deployment.zones, deployment.policy.zone, kept.start)),
        recovery: kept.recovery,
    });
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("listen: {listen}: {e}"))?;
    let address = listener.local_addr().map_err(|e| format!("listen: {listen}: {e}"))?;
    let timers = handle.clone();
    let mut timers = tokio::task::spawn_local(async move { timers.run().await });
    handle.cached(known.as_ref());
    if let Some((learned, age)) = kept.learned {
        handle.restored(learned, age);
    }
    let (moved, discovery) = watch::channel(discovery);
    // An empty list says nothing that changes could follow.
    let version = known.as_ref().filter(|k| !k.entries.is_empty()).map(|k| k.version);
    let watcher = Discovery::new(discovery, names, version);
    tokio::task::spawn_local(watcher.run(handle.clone(), !deployment.policy.ask_for_list));
    let longest = deployment.policy.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
    let held = Held::new(deployment.policy.tenants.len().max(1) + 1);
    let tier = options.peers.on.then(|| {
        let incarnation = kept.start.unwrap_or_else(Start::unkept).incarnation;
        let (deployment, addresses, options) = (&deployment, &peers, &options.peers);
        Tier::start(peers::Parts { deployment, addresses, options, incarnation, seed })
    });
    let tier = tier.transpose().unwrap_or_else(|error| {
        tracing::warn!(target: "peers", event = "peers_off", error, "peers: {error}; going on without");
        None
    });
    let (phase, phases) = watch::channel(Phase::Up);
    let served = tokio::task::spawn_local(
        Server::new(handle.clone(), deployment, budget, phases, held.clone()).run(listener),
    );
    tracing::info!(target: "run", event = "serving", address = %address, "{name}: serving on {address}");
    let (options, changed) = watch::channel(options);
    if let Some(tier) = tier.clone() {
        tokio::task::spawn_local(tier.run(handle.clone(), held, changed.clone()));
    }
    let (over, end) = watch::channel(false);
    let counted = async {
        if on {
            snapshots::tell(handle.clone(), tier.clone(), changed, logging, file, end).await;
        }
    };
    let mut counted = std::pin::pin!(counted);
    let mut counting = on;
    let again = Reload { name: &name, discovery: moved, sources, options, logging };

    let reloads = async {
        while hup.recv().await.is_some() {
            again.again();
        }
    };
    let mut reloads = std::pin::pin!(reloads);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            // Without timers no request would end: better to stop at once, seen by all.
            end = &mut timers => return Err(format!("the timers stopped: {end:?}")),
            () = &mut reloads => return Err("no signals any more".into()),
            () = &mut counted, if counting => counting = false,
        }
    }
    tracing::info!(target: "run", event = "told_to_end", "{name}: told to end");
    if let Some(tier) = &tier {
        tier.leave();
    }
    ending::end(&name, &handle, &phase, longest, served).await;
    over.send_replace(true);
    if counting {
        counted.await;
    }
    handle.flush();
    Ok(())
}
