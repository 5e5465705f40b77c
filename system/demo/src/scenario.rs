//! The demo's scenario: starts the cluster, submits jobs, injects faults, waits for every job and publishes the report.
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

/// Timeout of a job, from its first submission until it is reported as succeeded.
const JOB_TIMEOUT: Duration = Duration::from_secs(40);
/// Name of the coordinator that is killed.
const KILLED_COORDINATOR: &str = "coordinator-1";
/// Downtime of the killed coordinator.
const DOWNTIME: Duration = Duration::from_secs(2);
/// When the coordinator's disk is backed up, as a fraction of the submission period.
const BACK_UP_DISK_AFTER: f64 = 0.1;
/// When the coordinator is killed, as a fraction of the submission period.
const KILL_COORDINATOR_AFTER: f64 = 0.3;
/// When a worker crashes, as a fraction of the submission period.
const CRASH_WORKER_AFTER: f64 = 0.6;
/// Seed of the random jobs.
const SEED: u64 = 7;
/// Minimum submission rate, in jobs per second.
const MIN_JOBS_PER_S: f64 = 0.01;

/// Runs the scenario.
///
/// # Errors
/// If the cluster cannot be started, or some job does not succeed.
pub fn run(options: &Options) -> Result<(), DemoError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(DemoError::system("starting the async runtime"))?;
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
        "{:6.2} s  the cluster is ready for jobs",
        workers.started_at.elapsed().as_secs_f64()
    );
    let cpu_ms_before = cpu_ms(&cluster);
    let submissions = tokio::spawn(submit_jobs(clients, options.clone()));
    let submissions_started_at = Instant::now();
    let cluster_events = if options.calm {
        Vec::new()
    } else {
        inject_faults(options, &mut cluster, &mut workers).await?
    };
    let jobs = submissions.await.unwrap_or_default();
    let results = Results {
        jobs,
        cluster_events,
        wall_ms: submissions_started_at.elapsed().as_millis() as u64,
        worker_events: drain_events(worker_events),
        usage: usage_since(&cluster, &cpu_ms_before),
    };
    report::publish(&results, &folder)
}

/// The workers, and the platform that lists them.
struct Workers {
    started_at: Instant,
    platform: Platform,
    running: Vec<RunningWorker>,
}

impl Workers {
    /// Starts the workers, and returns them with the receiver of their events.
    async fn start(count: u16) -> Result<(Workers, UnboundedReceiver<WorkerEvent>), DemoError> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut workers = Workers {
            started_at: Instant::now(),
            platform: Platform::default(),
            running: Vec::new(),
        };
        for number in 1..=count {
            let worker = RunningWorker::start(number, workers.started_at, sender.clone()).await?;
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

fn cpu_ms(cluster: &Cluster) -> Vec<u64> {
    cluster
        .processes
        .iter()
        .map(|process| process.usage().cpu_ms)
        .collect()
}

/// Resource usage of each process, with the CPU time counted from `cpu_ms_before`.
fn usage_since(cluster: &Cluster, cpu_ms_before: &[u64]) -> Vec<ProcessUsage> {
    cluster
        .processes
        .iter()
        .zip(cpu_ms_before)
        .map(|(process, before)| {
            let mut usage = process.usage();
            usage.cpu_ms = usage.cpu_ms.saturating_sub(*before);
            ProcessUsage {
                name: process.name.clone(),
                usage,
            }
        })
        .collect()
}

/// Submits jobs at the requested rate, and polls each until it ends.
async fn submit_jobs(clients: Clients, options: Options) -> Vec<JobOutcome> {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut jobs = JoinSet::new();
    let count = (options.jobs_per_s * options.seconds as f64) as u64;
    let started_at = Instant::now();
    for number in 0..count {
        let offset_s = number as f64 / options.jobs_per_s.max(MIN_JOBS_PER_S);
        tokio::time::sleep_until(started_at + Duration::from_secs_f64(offset_s)).await;
        let clients = clients.clone();
        let steps = random_steps(&mut random);
        jobs.spawn(async move {
            clients
                .submit_and_poll_job(number, steps, JOB_TIMEOUT)
                .await
        });
    }
    jobs.join_all().await
}

/// Draws the steps of a job. Most jobs have one short step, some have several steps, and some have a gang.
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

/// Kills and restarts a coordinator, and crashes a worker.
async fn inject_faults(
    options: &Options,
    cluster: &mut Cluster,
    workers: &mut Workers,
) -> Result<Vec<ClusterEvent>, DemoError> {
    let started_at = Instant::now();
    let after =
        |fraction: f64| started_at + Duration::from_secs_f64(options.seconds as f64 * fraction);
    let mut events = Vec::new();
    if options.old_copy {
        tokio::time::sleep_until(after(BACK_UP_DISK_AFTER)).await;
        // A copy of files that are being written would be inconsistent, so the process is stopped first.
        cluster.kill(KILLED_COORDINATOR).await?;
        cluster.back_up_data(KILLED_COORDINATOR)?;
        cluster.restart(KILLED_COORDINATOR)?;
        events.push(print_event(
            workers.started_at,
            format!("the disk of {KILLED_COORDINATOR} is backed up"),
        ));
    }
    tokio::time::sleep_until(after(KILL_COORDINATOR_AFTER)).await;
    cluster.kill(KILLED_COORDINATOR).await?;
    events.push(print_event(
        workers.started_at,
        format!("{KILLED_COORDINATOR} is killed"),
    ));
    tokio::time::sleep(DOWNTIME).await;
    if options.old_copy {
        cluster.restore_data(KILLED_COORDINATOR)?;
        events.push(print_event(
            workers.started_at,
            format!("the disk of {KILLED_COORDINATOR} is restored from the backup"),
        ));
    }
    cluster.restart(KILLED_COORDINATOR)?;
    events.push(print_event(
        workers.started_at,
        format!("{KILLED_COORDINATOR} restarts"),
    ));
    tokio::time::sleep_until(after(CRASH_WORKER_AFTER)).await;
    if let Some(incarnation) = workers.crash_last() {
        let description = format!("worker {incarnation} crashes");
        events.push(print_event(workers.started_at, description));
    }
    Ok(events)
}

/// Prints a cluster event with the time since the demo started.
fn print_event(started_at: Instant, description: String) -> ClusterEvent {
    let elapsed = started_at.elapsed();
    println!("{:6.2} s  {description}", elapsed.as_secs_f64());
    ClusterEvent {
        at: elapsed.as_millis() as u64,
        description,
    }
}
