//! Monitors the processes during the run, and checks their metrics after it.
use crate::audit::find_differences;
use crate::clients::InFlight;
use crate::experiment::{FaultKind, Millis};
use crate::fleet::Fleet;
use crate::net::lock;
use crate::oracle::Rule;
use crate::world::World;
use indicatif::ProgressBar;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Each balancer must write metrics within this time after the end of the run.
const METRICS_TIMEOUT: Duration = Duration::from_secs(10);
/// The time between two reads of metrics while waiting for new ones.
const METRICS_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The time between two samples of the processes.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(1000);
/// The time between two samples of the balancers' view of their tier.
const CONVERGENCE_INTERVAL: Duration = Duration::from_millis(100);
/// The time after a cut or a pause within which balancers may still disagree about their tier.
const RECOVERY_TIME: Millis = 5000.0;

/// Compares the metrics of every balancer that ran without a restart and writes metrics with what the stand-ins saw.
pub(super) async fn audit(fleet: &Fleet) {
    let world = &fleet.world;
    let over = world.clock.unix(world.now());
    fleet
        .balancers
        .iter()
        .for_each(|process| process.check_incarnation(world));
    let never_restarted = fleet
        .balancers
        .iter()
        .enumerate()
        .filter(|(_, p)| p.starts() == 1 && p.is_running());
    for (b, process) in never_restarted {
        let fresh = async {
            loop {
                match process.read_metrics() {
                    Some(metrics) if metrics.at_ms > over => return Some(metrics),
                    Some(_) => tokio::time::sleep(METRICS_POLL_INTERVAL).await,
                    None => return None,
                }
            }
        };
        let name = &world.plan.balancers[b].name;
        let metrics = match timeout(METRICS_TIMEOUT, fresh).await {
            Ok(Some(metrics)) => metrics,
            Ok(None) => continue,
            Err(_) => {
                world.report_violation(
                    Rule::Metrics,
                    format!("{name} wrote no metrics within {METRICS_TIMEOUT:?} after the run"),
                );
                continue;
            }
        };
        let seen = lock(&world.oracle).seen(b);
        if let Some(difference) = find_differences(&metrics, &seen) {
            world.report_violation(Rule::Metrics, format!("{name}: {difference}"));
        }
    }
}

/// Samples the processes once a second and updates the progress bar.
pub(super) async fn monitor_processes(
    fleet: Arc<Fleet>,
    in_flight: Arc<InFlight>,
    progress: ProgressBar,
) {
    let world = &fleet.world;
    let mut every = tokio::time::interval(SAMPLE_INTERVAL);
    loop {
        every.tick().await;
        let now = world.now();
        let degraded_upstreams = fleet.upstreams.iter().filter(|u| u.is_degraded()).count() as u64;
        let completed = {
            let mut tally = lock(&world.tally);
            tally.second(now).degraded_upstreams = degraded_upstreams;
            tally.completed.len()
        };
        let broken: u64 = {
            let mut oracle = lock(&world.oracle);
            oracle.judge(now);
            oracle.violations().1.values().sum()
        };
        progress.set_position((now.max(0.0) / 1000.0) as u64);
        let rules = if broken == 0 {
            "no rule broken".into()
        } else {
            format!("{broken} rule violations")
        };
        progress.set_message(format!(
            "{completed} requests ended, {} in flight, {rules}",
            in_flight.count()
        ));
        let sampled = fleet.clone();
        // Reading /proc for several dozen processes blocks for milliseconds.
        let sample = tokio::task::spawn_blocking(move || {
            sampled
                .balancers
                .iter()
                .for_each(|p| p.sample_usage(&sampled.world))
        });
        if sample.await.is_err() {
            return;
        }
    }
}

/// Samples which peers the balancers of each tier know.
pub(super) async fn monitor_convergence(fleet: Arc<Fleet>) {
    let mut every = tokio::time::interval(CONVERGENCE_INTERVAL);
    loop {
        every.tick().await;
        let sampled = fleet.clone();
        // Reading several dozen files blocks for milliseconds.
        if tokio::task::spawn_blocking(move || sample_tiers(&sampled))
            .await
            .is_err()
        {
            return;
        }
    }
}

fn sample_tiers(fleet: &Fleet) {
    let world = &fleet.world;
    let now = world.now();
    let peers = |tier: usize| {
        let all = fleet
            .balancers
            .iter()
            .enumerate()
            .filter(move |(b, _)| world.plan.balancers[*b].tier == tier);
        all.filter(|(_, process)| process.exchanges_datagrams())
    };
    for tier in 0..world.experiment.tiers.len() {
        let running: BTreeSet<usize> = peers(tier).map(|(b, _)| b).collect();
        let reports = peers(tier).filter_map(|(b, process)| Some((b, process.read_metrics()?)));
        let reports: Vec<_> = reports
            .filter_map(|(b, f)| Some((b, f.at_ms - world.clock.unix(0.0), f.tier()?)))
            .collect();
        let mut all = lock(&world.convergence);
        all[tier].runs(now, &running, is_disturbed(world, now));
        reports
            .into_iter()
            .for_each(|(b, at, tier_of)| all[tier].observe(b, at, tier_of));
    }
}

/// Whether a cut or a pause excuses balancers that do not know each other now.
fn is_disturbed(world: &World, now: Millis) -> bool {
    let parts = |kind| matches!(kind, FaultKind::Cut | FaultKind::Pause);
    world
        .plan
        .faults
        .iter()
        .any(|f| parts(f.kind) && (f.at..f.until + RECOVERY_TIME).contains(&now))
}
