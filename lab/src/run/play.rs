//! One play of a program, from the first process start to the last exit.
use super::sum_up::sum_up;
use super::watch::{audit, monitor_convergence, monitor_processes};
use crate::clients::{completion_timeout, send_all, InFlight};
use crate::draw::Plan;
use crate::error::{BindError, FileError};
use crate::experiment::{merged, Build, Experiment, Span};
use crate::faults;
use crate::fleet::Fleet;
use crate::guard::Guard;
use crate::metrics::{value_of, Played};
use crate::net::lock;
use crate::oracle::Oracle;
use crate::process::{LaunchSpec, ProcessError};
use crate::world::{World, WorldError};
use indicatif::{ProgressBar, ProgressStyle};
use nix::sys::signal::Signal;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::task::JoinError;
use tokio::time::timeout;

/// The time from the last balancer's readiness to the first request.
const START_DELAY: Duration = Duration::from_millis(300);

/// A program to play.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    /// The name in tables.
    pub name: String,
    /// The shell command that runs one balancer.
    pub command: String,
    /// Options that override those of the experiment and of its builds.
    pub options: toml::Table,
}

/// The environment of a play.
pub struct PlayContext<'a> {
    /// The working directory of commands.
    pub root: &'a Path,
    /// The folder for the results.
    pub folder: &'a Path,
    /// Kills child processes if the lab dies.
    pub guard: &'a Guard,
    /// Set to stop early.
    pub stop: watch::Receiver<bool>,
    /// Commands of the experiment's builds, by name; a build without an entry runs the program under test.
    pub builds: &'a BTreeMap<String, String>,
    /// Whether to show progress.
    pub progress: bool,
}

/// Why a program could not be played.
#[derive(Debug, Error)]
pub enum PlayError {
    /// A folder for the results could not be created.
    #[error(transparent)]
    Folder(#[from] FileError),
    /// The run could not be set up.
    #[error(transparent)]
    World(#[from] WorldError),
    /// An upstream or a discovery agent could not bind its address.
    #[error(transparent)]
    Listen(#[from] BindError),
    /// A balancer could not be started.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The task that starts a balancer failed.
    #[error(transparent)]
    Task(#[from] JoinError),
}

/// Plays one program once.
///
/// # Errors
/// Fails if a part of the fleet could not be started; no process is left running.
pub async fn play(
    experiment: &Experiment,
    plan: &Plan,
    program: &Program,
    number: usize,
    context: &PlayContext<'_>,
) -> Result<Played, PlayError> {
    for part in ["config", "logs"] {
        let folder = context.folder.join(part);
        std::fs::create_dir_all(&folder).map_err(FileError::at(&folder))?;
    }
    let specs = launch_specs(experiment, program, context.builds);
    let fleet = Fleet::new(experiment, plan, &specs, context.root, context.folder)?;
    let ended = run_fleet(&fleet, context, &program.name).await;
    {
        let mut oracle = lock(&fleet.world.oracle);
        if ended.as_ref().is_ok_and(|stopped| !stopped) {
            oracle.finish(fleet.world.now());
            check_in_share(&fleet.world, &mut oracle);
        }
        oracle.close();
    }
    // Ends all processes of this run, also after an error.
    fleet.world.over.send_replace(true);
    for process in &fleet.balancers {
        process.stop(Signal::SIGCONT);
        process.stop(Signal::SIGKILL);
    }
    for process in &fleet.balancers {
        process.exited().await;
    }
    let stopped = ended?;
    Ok(sum_up(
        &fleet,
        (&program.name, &program.command),
        number,
        stopped,
    ))
}

/// Checks how much value tenants within their share retained during the overload of another tenant.
fn check_in_share(world: &World, oracle: &mut Oracle) {
    let (experiment, plan) = (&world.experiment, &world.plan);
    let Some(bound) = &experiment.bounds.in_share else {
        return;
    };
    let tally = lock(&world.tally);
    for tenant in &bound.tenants {
        let value = |over: Span| {
            value_of(
                experiment,
                plan,
                &tally.completed,
                tenant,
                (over.0.least, over.0.most),
            )
        };
        let (before, during) = (value(bound.before), value(bound.during));
        oracle.check_tenant_value(world.now(), tenant, before, during, bound.least);
    }
}

/// The launch specifications of balancers: the program under test, then each build.
fn launch_specs(
    experiment: &Experiment,
    program: &Program,
    builds: &BTreeMap<String, String>,
) -> Vec<LaunchSpec> {
    let plain = LaunchSpec {
        command: program.command.clone(),
        options: merged(&experiment.options, &program.options),
    };
    let build = |build: &Build| LaunchSpec {
        command: builds.get(&build.name).unwrap_or(&program.command).clone(),
        options: match build.bare {
            true => build.options.clone(),
            false => merged(
                &merged(&experiment.options, &build.options),
                &program.options,
            ),
        },
    };
    std::iter::once(plain)
        .chain(experiment.builds.iter().map(build))
        .collect()
}

/// Runs the fleet from the first process start to the last response. Returns whether it was stopped early.
async fn run_fleet(
    fleet: &Arc<Fleet>,
    context: &PlayContext<'_>,
    name: &str,
) -> Result<bool, PlayError> {
    let world = &fleet.world;
    fleet.listen()?;
    let length = world.plan.length / 1000.0;
    let progress = if context.progress {
        ProgressBar::new(length.ceil() as u64)
    } else {
        ProgressBar::hidden()
    };
    let style = ProgressStyle::with_template("{prefix:>14} {bar:30} {pos:>3}/{len} s  {msg}");
    progress.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    progress.set_prefix(name.to_string());
    progress.set_message(format!("starting {} balancers", fleet.balancers.len()));
    progress.tick();
    let mut stop = context.stop.clone();
    let mut starts = tokio::task::JoinSet::new();
    for process in &fleet.balancers {
        let (process, world, guard) = (process.clone(), world.clone(), context.guard.clone());
        starts.spawn(async move { process.start(&world, &guard).await });
    }
    loop {
        tokio::select! {
            started = starts.join_next() => match started {
                Some(started) => started??,
                None => break,
            },
            _ = stop.wait_for(|s| *s) => return Ok(true),
        }
    }
    world.clock.begin_after(START_DELAY);
    faults::schedule(fleet, context.guard);
    let in_flight = Arc::new(InFlight::default());
    let monitor = tokio::spawn(monitor_processes(
        fleet.clone(),
        in_flight.clone(),
        progress.clone(),
    ));
    let convergence = tokio::spawn(monitor_convergence(fleet.clone()));
    let sent = send_all(world.clone(), in_flight.clone());
    let all = async {
        sent.await;
        // A request that never ends is a violation that the oracle reports; the wait for it is bounded.
        let _ = timeout(
            Duration::from_secs_f64(completion_timeout(world) / 1000.0),
            in_flight.wait_until_none(),
        )
        .await;
    };
    let stopped = tokio::select! {
        () = all => false,
        _ = stop.wait_for(|s| *s) => true,
    };
    if !stopped {
        audit(fleet).await;
    }
    monitor.abort();
    convergence.abort();
    progress.finish_and_clear();
    Ok(stopped)
}
