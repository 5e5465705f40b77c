//! Wires the parts of a serving balancer together, starts them and ends them. Owns no state beyond that.
use crate::clients::{Phase, Server};
use crate::config::{Config, Fixed};
use crate::discovery::Discovery;
use crate::driver::{self, Handle, Parts};
use crate::ending;
use crate::figures::{self, Figures};
use crate::held::Held;
use crate::listing::Names;
use crate::log::Logging;
use crate::options::{Options, Sources};
use crate::peers::{self, Tier};
use crate::recovery::{self, Recovered, Start};
use crate::reload::Reload;
use crate::signals::Signals;
use crate::snapshots;
use crate::sockets::Sockets;
use crate::upstreams;
use balancer_core::Balancer;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

/// Serves until it is told to end, or until something without which nothing is served has stopped.
pub(crate) async fn run(
    config: Config,
    sources: Sources,
    options: Options,
    logging: &Logging,
) -> Result<(), String> {
    let (start, start_ms) = (Instant::now(), driver::unix_ms());
    let fixed = Fixed::of(&config);
    let Config {
        name,
        listen,
        discovery,
        seed,
        sockets,
        known,
        known_error,
        peers,
        deployment,
    } = config;
    let (mut end_signals, mut hang_up) = Signals::listen()?.split();
    let balancer =
        Balancer::new(deployment.policy.clone(), seed, start_ms).map_err(|e| e.to_string())?;
    let span = |ms: f64| Duration::from_secs_f64(ms / 1000.0);
    let budget = Sockets::new(sockets);
    let transport = upstreams::Transport::new(
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
    if let Some(error) = known_error {
        tracing::warn!(target: "run", event = "known_refused", error, "{name}: {error}; starting without it");
    }
    // The platform's list goes first, unless this balancer has kept a later one.
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
        figures: on
            .then(|| Figures::new(&name, &deployment.zones, deployment.policy.zone, kept.start)),
        recovery: kept.recovery,
    });
    let listener = TcpListener::bind(listen)
        .await
        .map_err(|e| format!("listen: {listen}: {e}"))?;
    let address = listener
        .local_addr()
        .map_err(|e| format!("listen: {listen}: {e}"))?;
    let timers = handle.clone();
    let mut timers = tokio::task::spawn_local(async move { timers.run().await });
    handle.cached(known.as_ref());
    if let Some((learned, age)) = kept.learned {
        handle.restored(learned, age);
    }
    let (moved, discovery) = watch::channel(discovery);
    // An empty list says nothing that changes could follow.
    let version = known
        .as_ref()
        .filter(|k| !k.entries.is_empty())
        .map(|k| k.version);
    let watcher = Discovery::new(discovery, names, version);
    tokio::task::spawn_local(watcher.run(handle.clone(), !deployment.policy.subscribes));
    let longest = deployment
        .policy
        .classes
        .iter()
        .map(|c| c.deadline)
        .fold(0.0, f64::max);
    let held = Held::new(deployment.policy.tenants.len().max(1) + 1);
    let tier = options.peers.on.then(|| {
        let incarnation = kept.start.unwrap_or_else(Start::unkept).incarnation;
        let (deployment, addresses, options) = (&deployment, &peers, &options.peers);
        Tier::start(peers::Parts {
            deployment,
            addresses,
            options,
            incarnation,
            seed,
        })
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
    let again = Reload {
        name: &name,
        fixed,
        discovery: moved,
        sources,
        options,
        logging,
    };

    let reloads = async {
        while hang_up.recv().await.is_some() {
            again.again();
        }
    };
    let mut reloads = std::pin::pin!(reloads);
    loop {
        tokio::select! {
            () = end_signals.received() => break,
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
