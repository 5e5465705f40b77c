//! Looks at the processes while they run, and at their metrics when all is over.
use crate::audit::differs;
use crate::clients::Open;
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

/// Metrics of after the run must be written within this, and are asked for this often.
const METRICS_TIMEOUT: Duration = Duration::from_secs(10);
const METRICS_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How often processes are looked at.
const LOOK: Duration = Duration::from_millis(1000);
/// How often metrics are looked at for what a tier knows.
const FOLLOW: Duration = Duration::from_millis(100);
/// What cuts and pauses have done to what a tier knows is over after this.
const RECOVERY_TIME: Millis = 5000.0;

/// Sets the metrics of every balancer that has run through, and writes some, against what was seen of it.
pub(super) async fn audit(fleet: &Fleet) {
    let world = &fleet.world;
    let over = world.clock.unix(world.now());
    fleet
        .balancers
        .iter()
        .for_each(|process| process.check_incarnation(world));
    let through = fleet
        .balancers
        .iter()
        .enumerate()
        .filter(|(_, p)| p.starts() == 1 && p.is_running());
    for (b, process) in through {
        let fresh = async {
            loop {
                match process.read_metrics() {
                    Some(counted) if counted.at_ms > over => return Some(counted),
                    Some(_) => tokio::time::sleep(METRICS_POLL_INTERVAL).await,
                    None => return None,
                }
            }
        };
        let name = &world.plan.balancers[b].name;
        let counted = match timeout(METRICS_TIMEOUT, fresh).await {
            Ok(Some(counted)) => counted,
            Ok(None) => continue,
            Err(_) => {
                world.breaks(
                    Rule::Metrics,
                    format!("{name} has written no figures for {METRICS_TIMEOUT:?}"),
                );
                continue;
            }
        };
        let seen = lock(&world.oracle).seen(b);
        if let Some(what) = differs(&counted, &seen) {
            world.breaks(Rule::Metrics, format!("{name}: {what}"));
        }
    }
}

/// Looks at the processes once a second and shows how it goes.
pub(super) async fn watch_over(fleet: Arc<Fleet>, open: Arc<Open>, progress: ProgressBar) {
    let world = &fleet.world;
    let mut every = tokio::time::interval(LOOK);
    loop {
        every.tick().await;
        let now = world.now();
        let choked = fleet.upstreams.iter().filter(|u| u.is_degraded()).count() as u64;
        let done = {
            let mut tally = lock(&world.tally);
            tally.second(now).choked = choked;
            tally.done.len()
        };
        let broken: u64 = {
            let mut oracle = lock(&world.oracle);
            oracle.judge(now);
            oracle.found().1.values().sum()
        };
        progress.set_position((now.max(0.0) / 1000.0) as u64);
        let rules = if broken == 0 {
            "rules kept".into()
        } else {
            format!("{broken} times a rule broken")
        };
        progress.set_message(format!(
            "{done} requests ended, {} open, {rules}",
            open.count()
        ));
        let looked = fleet.clone();
        // Reading what the system says of some dozens of processes takes milliseconds.
        let look = tokio::task::spawn_blocking(move || {
            looked
                .balancers
                .iter()
                .for_each(|p| p.sample_usage(&looked.world))
        });
        if look.await.is_err() {
            return;
        }
    }
}

/// Follows what each tier knows of who runs.
pub(super) async fn follow_tiers(fleet: Arc<Fleet>) {
    let mut every = tokio::time::interval(FOLLOW);
    loop {
        every.tick().await;
        let looked = fleet.clone();
        // Reading some dozens of files takes milliseconds.
        if tokio::task::spawn_blocking(move || look_at_tiers(&looked))
            .await
            .is_err()
        {
            return;
        }
    }
}

fn look_at_tiers(fleet: &Fleet) {
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

/// Whether balancers may rightly not know of each other now.
fn is_disturbed(world: &World, now: Millis) -> bool {
    let parts = |kind| matches!(kind, FaultKind::Cut | FaultKind::Pause);
    world
        .plan
        .faults
        .iter()
        .any(|f| parts(f.kind) && (f.at..f.until + RECOVERY_TIME).contains(&now))
}
