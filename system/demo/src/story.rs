//! The demo's story: start, hand jobs in, kill, wait for every job, report.
use crate::{
    clients::{Clients, JobStory},
    cluster::Cluster,
    error::DemoError,
    options::Options,
    platform::Platform,
    report::{self, Happening, Report},
    work::StepWork,
    worker_server::{RunningWorker, WorkerEvent},
};
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::{path::PathBuf, time::Duration};
use tokio::{sync::mpsc, task::JoinSet, time::Instant};

/// How long a job may take to be shown as succeeded.
const PATIENCE: Duration = Duration::from_secs(40);
/// The coordinator that is killed, and how long it is gone.
const KILLED: &str = "coordinator-1";
const GONE_FOR: Duration = Duration::from_secs(2);
/// What of the time for which jobs are handed in passes before the kills.
const KILL_COORDINATOR_AFTER: f64 = 0.3;
const KILL_WORKER_AFTER: f64 = 0.6;

/// Plays the story.
///
/// # Errors
/// When the cluster can't be started, or some job is not done at the end.
pub fn run(options: &Options) -> Result<(), DemoError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(DemoError::system("the event loop"))?;
    runtime.block_on(play(options))
}

async fn play(options: &Options) -> Result<(), DemoError> {
    let folder = folder(options)?;
    println!("files are in {}", folder.display());
    let began = Instant::now();
    let (events, mut told) = mpsc::unbounded_channel();
    let platform = Platform::default();
    let mut workers = Vec::new();
    for number in 1..=options.workers {
        let worker = RunningWorker::start(number, began, events.clone()).await?;
        platform.add(worker.entry.clone());
        workers.push(worker);
    }
    let mut cluster = Cluster::start(options, &folder, platform.start().await?)?;
    let clients = Clients::new(options.coordinators, options.proxies);
    clients.configure().await?;
    println!(
        "{:6.2} s  the cluster takes jobs",
        began.elapsed().as_secs_f64()
    );
    let before: Vec<u64> = cluster
        .processes
        .iter()
        .map(|process| process.usage().processor_ms)
        .collect();
    let traffic = tokio::spawn(hand_in(clients, options.clone()));
    let from = Instant::now();
    let mut happenings = Vec::new();
    if !options.calm {
        kill(
            options,
            began,
            &mut cluster,
            &mut workers,
            &platform,
            &mut happenings,
        )
        .await?;
    }
    let stories = traffic.await.unwrap_or_default();
    let wall_ms = from.elapsed().as_millis() as u64;
    let mut worker_events: Vec<WorkerEvent> = Vec::new();
    while let Ok(event) = told.try_recv() {
        worker_events.push(event);
    }
    let usage = cluster
        .processes
        .iter()
        .zip(before)
        .map(|(process, before)| {
            let mut usage = process.usage();
            usage.processor_ms = usage.processor_ms.saturating_sub(before);
            (process.name.clone(), usage)
        });
    let report = Report {
        stories,
        happenings,
        worker_events,
        usage: usage.collect(),
        wall_ms,
    };
    report::finish(&report, &folder)
}

fn folder(options: &Options) -> Result<PathBuf, DemoError> {
    let fresh = || std::env::temp_dir().join(format!("magpiegap-demo-{}", std::process::id()));
    let folder = options.folder.clone().unwrap_or_else(fresh);
    std::fs::create_dir_all(&folder).map_err(DemoError::system(folder.display().to_string()))?;
    Ok(folder)
}

/// Hands jobs in at the rate asked for, and follows each.
async fn hand_in(clients: Clients, options: Options) -> Vec<JobStory> {
    let mut random = StdRng::seed_from_u64(7);
    let mut jobs = JoinSet::new();
    let count = (options.jobs_per_s * options.seconds as f64) as u64;
    let begin = Instant::now();
    for number in 0..count {
        let due = begin + Duration::from_secs_f64(number as f64 / options.jobs_per_s.max(0.01));
        tokio::time::sleep_until(due).await;
        let (clients, steps) = (clients.clone(), some_steps(&mut random));
        jobs.spawn(async move { clients.follow_job(number, steps, PATIENCE).await });
    }
    jobs.join_all().await
}

/// Most jobs are quick ones; some have several steps, and some a gang.
fn some_steps(random: &mut StdRng) -> Vec<StepWork> {
    let step = |count, cpu, duration_ms, gang| StepWork {
        count,
        cpu,
        duration_ms,
        gang,
    };
    match random.gen_range(0..10) {
        0 => vec![
            step(2, 500, 400, false),
            step(random.gen_range(2..6), 1000, 900, false),
            step(1, 2000, 300, false),
        ],
        1 => vec![step(random.gen_range(2..5), 1500, 800, true)],
        _ => vec![step(
            random.gen_range(1..4),
            300,
            random.gen_range(200..700),
            false,
        )],
    }
}

async fn kill(
    options: &Options,
    began: Instant,
    cluster: &mut Cluster,
    workers: &mut Vec<RunningWorker>,
    platform: &Platform,
    happenings: &mut Vec<Happening>,
) -> Result<(), DemoError> {
    let begin = Instant::now();
    let after = |part: f64| begin + Duration::from_secs_f64(options.seconds as f64 * part);
    let mut note = |what: String| {
        let at = began.elapsed();
        println!("{:6.2} s  {what}", at.as_secs_f64());
        happenings.push(Happening {
            at: at.as_millis() as u64,
            what,
        });
    };
    tokio::time::sleep_until(after(KILL_COORDINATOR_AFTER)).await;
    cluster.kill(KILLED).await?;
    note(format!("{KILLED} is killed"));
    tokio::time::sleep(GONE_FOR).await;
    cluster.start_again(KILLED)?;
    note(format!("{KILLED} starts again"));
    tokio::time::sleep_until(after(KILL_WORKER_AFTER)).await;
    if let Some(worker) = workers.pop() {
        let incarnation = worker.entry.incarnation.clone();
        platform.remove(&incarnation);
        worker.crash();
        note(format!("worker {incarnation} crashes"));
    }
    Ok(())
}
