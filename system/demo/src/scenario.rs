//! The demo's scenario: start the cluster, submit jobs, inject faults, wait for every job, report.
use crate::{
    clients::{Clients, JobOutcome},
    cluster::Cluster,
    error::DemoError,
    options::Options,
    platform::Platform,
    report,
    results::{ClusterEvent, ProcessUsage, Results},
    work::StepWork,
    worker_server::{RunningWorker, WorkerEvent},
};
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::{path::PathBuf, time::Duration};
use tokio::{
    sync::mpsc::{self, UnboundedReceiver},
    task::JoinSet,
    time::Instant,
};

/// How long a job may take to be shown as succeeded.
const JOB_TIMEOUT: Duration = Duration::from_secs(40);
/// The coordinator that is killed.
const KILLED: &str = "coordinator-1";
/// How long it is down.
const DOWNTIME: Duration = Duration::from_secs(2);
/// The fraction of the time in which jobs are submitted that passes before the coordinator's disk is copied.
const COPY_DISK_AFTER: f64 = 0.1;
/// The fraction that passes before the coordinator is killed.
const KILL_COORDINATOR_AFTER: f64 = 0.3;
/// The fraction that passes before a worker crashes.
const CRASH_WORKER_AFTER: f64 = 0.6;
/// Seeds the jobs.
const SEED: u64 = 7;
/// The lowest rate of jobs per second.
const MIN_JOBS_PER_S: f64 = 0.01;

/// Runs the scenario.
///
/// # Errors
/// When the cluster can't be started, or some job is not done at the end.
pub fn run(options: &Options) -> Result<(), DemoError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(DemoError::system("the event loop"))?;
    runtime.block_on(run_scenario(options))
}

async fn run_scenario(options: &Options) -> Result<(), DemoError> {
    let folder = create_folder(options)?;
    println!("files are in {}", folder.display());
    let (mut workers, worker_events) = Workers::start(options.workers).await?;
    let platform = workers.platform.start().await?;
    let mut cluster = Cluster::start(options, &folder, platform)?;
    let clients = Clients::new(options.coordinators, options.proxies);
    clients.configure().await?;
    println!(
        "{:6.2} s  the cluster takes jobs",
        workers.began.elapsed().as_secs_f64()
    );
    let processor_ms_before = processor_ms(&cluster);
    let submissions = tokio::spawn(submit_jobs(clients, options.clone()));
    let submitted_from = Instant::now();
    let cluster_events = if options.calm {
        Vec::new()
    } else {
        inject_faults(options, &mut cluster, &mut workers).await?
    };
    let jobs = submissions.await.unwrap_or_default();
    let results = Results {
        jobs,
        cluster_events,
        wall_ms: submitted_from.elapsed().as_millis() as u64,
        worker_events: drain_events(worker_events),
        usage: usage_since(&cluster, &processor_ms_before),
    };
    report::publish(&results, &folder)
}

/// The workers, and the platform that lists them.
struct Workers {
    began: Instant,
    platform: Platform,
    running: Vec<RunningWorker>,
}

impl Workers {
    /// Starts workers; their events are received beside.
    async fn start(count: u16) -> Result<(Workers, UnboundedReceiver<WorkerEvent>), DemoError> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut workers = Workers {
            began: Instant::now(),
            platform: Platform::default(),
            running: Vec::new(),
        };
        for number in 1..=count {
            let worker = RunningWorker::start(number, workers.began, sender.clone()).await?;
            workers.platform.add(worker.entry.clone());
            workers.running.push(worker);
        }
        Ok((workers, receiver))
    }

    /// Crashes the last worker, and returns its incarnation.
    fn crash_last(&mut self) -> Option<String> {
        let worker = self.running.pop()?;
        let incarnation = worker.entry.incarnation.clone();
        self.platform.remove(&incarnation);
        worker.crash();
        Some(incarnation)
    }
}

fn create_folder(options: &Options) -> Result<PathBuf, DemoError> {
    let new_folder = || std::env::temp_dir().join(format!("magpiegap-demo-{}", std::process::id()));
    let folder = options.folder.clone().unwrap_or_else(new_folder);
    std::fs::create_dir_all(&folder).map_err(DemoError::system(folder.display().to_string()))?;
    Ok(folder)
}

fn drain_events(mut receiver: UnboundedReceiver<WorkerEvent>) -> Vec<WorkerEvent> {
    let mut events = Vec::new();
    while let Ok(event) = receiver.try_recv() {
        events.push(event);
    }
    events
}

fn processor_ms(cluster: &Cluster) -> Vec<u64> {
    cluster
        .processes
        .iter()
        .map(|process| process.usage().processor_ms)
        .collect()
}

/// What each process has used beyond an earlier processor time.
fn usage_since(cluster: &Cluster, processor_ms_before: &[u64]) -> Vec<ProcessUsage> {
    cluster
        .processes
        .iter()
        .zip(processor_ms_before)
        .map(|(process, before)| {
            let mut usage = process.usage();
            usage.processor_ms = usage.processor_ms.saturating_sub(*before);
            ProcessUsage {
                name: process.name.clone(),
                usage,
            }
        })
        .collect()
}

/// Submits jobs at the requested rate, and follows each.
async fn submit_jobs(clients: Clients, options: Options) -> Vec<JobOutcome> {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut jobs = JoinSet::new();
    let count = (options.jobs_per_s * options.seconds as f64) as u64;
    let began = Instant::now();
    for number in 0..count {
        let offset_s = number as f64 / options.jobs_per_s.max(MIN_JOBS_PER_S);
        tokio::time::sleep_until(began + Duration::from_secs_f64(offset_s)).await;
        let clients = clients.clone();
        let steps = random_steps(&mut random);
        jobs.spawn(async move { clients.follow_job(number, steps, JOB_TIMEOUT).await });
    }
    jobs.join_all().await
}

/// Draws the steps of a job. Most jobs are short; some have several steps, and some a gang.
fn random_steps(random: &mut StdRng) -> Vec<StepWork> {
    let step = |count, cpu, duration_ms| StepWork {
        count,
        cpu,
        duration_ms,
        gang: false,
    };
    match random.gen_range(0..10) {
        0 => vec![
            step(2, 500, 400),
            step(random.gen_range(2..6), 1000, 900),
            step(1, 2000, 300),
        ],
        1 => vec![StepWork {
            gang: true,
            ..step(random.gen_range(2..5), 1500, 800)
        }],
        _ => vec![step(
            random.gen_range(1..4),
            300,
            random.gen_range(200..700),
        )],
    }
}

/// Kills a coordinator, starts it again, and crashes a worker.
async fn inject_faults(
    options: &Options,
    cluster: &mut Cluster,
    workers: &mut Workers,
) -> Result<Vec<ClusterEvent>, DemoError> {
    let began = Instant::now();
    let after = |fraction: f64| began + Duration::from_secs_f64(options.seconds as f64 * fraction);
    let mut events = Vec::new();
    if options.old_copy {
        tokio::time::sleep_until(after(COPY_DISK_AFTER)).await;
        // Files that are being written can't be copied as they are at one moment.
        cluster.kill(KILLED).await?;
        cluster.copy_data(KILLED)?;
        cluster.restart(KILLED)?;
        events.push(announce(
            workers.began,
            format!("the disk of {KILLED} is copied"),
        ));
    }
    tokio::time::sleep_until(after(KILL_COORDINATOR_AFTER)).await;
    cluster.kill(KILLED).await?;
    events.push(announce(workers.began, format!("{KILLED} is killed")));
    tokio::time::sleep(DOWNTIME).await;
    if options.old_copy {
        cluster.put_back_data(KILLED)?;
        events.push(announce(
            workers.began,
            format!("the disk of {KILLED} is put back from the copy"),
        ));
    }
    cluster.restart(KILLED)?;
    events.push(announce(workers.began, format!("{KILLED} starts again")));
    tokio::time::sleep_until(after(CRASH_WORKER_AFTER)).await;
    if let Some(incarnation) = workers.crash_last() {
        let what = format!("worker {incarnation} crashes");
        events.push(announce(workers.began, what));
    }
    Ok(events)
}

/// Prints what was done to the cluster, with the time since the demo began.
fn announce(began: Instant, what: String) -> ClusterEvent {
    let elapsed = began.elapsed();
    println!("{:6.2} s  {what}", elapsed.as_secs_f64());
    ClusterEvent {
        at: elapsed.as_millis() as u64,
        what,
    }
}
