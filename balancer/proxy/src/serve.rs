//! Runs a serving balancer: starts its components, handles signals and shuts down in order. Owns the components.
mod components;
mod error;

pub(crate) use error::ServeError;

use crate::config::{Config, FixedConfig};
use crate::log::Logging;
use crate::options::{Options, Sources};
use crate::reload::Reload;
use crate::shutdown;
use crate::signals::Signals;
use components::{ClockStart, Components};
use tokio::sync::watch;

/// Serves until a shutdown signal, or until an essential component stops.
///
/// # Errors
/// Fails if a component cannot be started, or if an essential one stops.
pub(crate) async fn run(
    config: Config,
    sources: Sources,
    options: Options,
    logging: &Logging,
) -> Result<(), ServeError> {
    let clock = ClockStart::now();
    let fixed = FixedConfig::of(&config);
    let signals = Signals::listen().map_err(ServeError::Signals)?;
    let (mut shutdown_signals, mut hang_up) = signals.split();
    let mut components = Components::start(clock, config, options, logging).await?;
    let name = &components.name;
    let reload = Reload {
        name,
        fixed,
        discovery: components.discovery_address,
        sources,
        options: components.options,
        logging,
    };
    let mut reloads = std::pin::pin!(async {
        while hang_up.recv().await.is_some() {
            reload.reload();
        }
    });
    let (reporter_end, end) = watch::channel(false);
    let mut is_reporting = components.reporter.is_some();
    let mut reporting = std::pin::pin!(async {
        if let Some(reporter) = components.reporter {
            reporter.run(end).await;
        }
    });
    loop {
        tokio::select! {
            () = shutdown_signals.received() => break,
            // Without timers, no request would time out: it is better to fail immediately and visibly.
            end = &mut components.timers => return Err(ServeError::TimersStopped(end)),
            () = &mut reloads => return Err(ServeError::SignalsStopped),
            () = &mut reporting, if is_reporting => is_reporting = false,
        }
    }
    tracing::info!(target: "run", event = "told_to_end", "{name}: shutdown requested");
    if let Some(tier) = &components.tier {
        tier.leave();
    }
    let (handle, phase) = (&components.handle, &components.phase);
    let longest_deadline = components.longest_deadline;
    shutdown::shut_down(name, handle, phase, longest_deadline, components.server).await;
    reporter_end.send_replace(true);
    if is_reporting {
        reporting.await;
    }
    handle.flush();
    Ok(())
}
