//! The process of one balancer: its start, its signals, its exit. Owns the process state and the reason for its exit.
use super::config::{config, Identity};
use super::error::ProcessError;
use super::files::{Files, LaunchSpec};
use super::usage::Usage;
use crate::agent::Agent;
use crate::atomic_file;
use crate::audit::BalancerMetrics;
use crate::draw::{Party, PlannedFault};
use crate::error::FileError;
use crate::experiment::FaultKind;
use crate::guard::Guard;
use crate::net::lock;
use crate::oracle::Rule;
use crate::world::World;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicI32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::timeout;

/// The time between two readiness checks of a process that starts.
const READINESS_INTERVAL: Duration = Duration::from_millis(5);

/// How long a readiness check waits for its response.
const READINESS_TIMEOUT: Duration = Duration::from_millis(500);

const READINESS_REQUEST: &[u8] =
    b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n";

/// The incarnations of one balancer, as its metrics report them.
#[derive(Default)]
struct Incarnations {
    /// When the latest process was started, as Unix time in milliseconds; infinite once its incarnation was checked.
    started_unix_ms: f64,
    /// The highest incarnation so far.
    highest: u64,
}

/// One balancer.
pub struct Process {
    index: usize,
    name: String,
    listen: SocketAddr,
    agent: Arc<Agent>,
    /// The launch specifications: the program under test, then each build.
    launch_specs: Vec<LaunchSpec>,
    /// Position in `launch_specs` for the next start.
    build: AtomicUsize,
    /// The working directory of commands.
    root: PathBuf,
    files: Files,
    /// The balancer's state folder, which persists over restarts.
    pub state: PathBuf,
    seed: u64,
    starts: AtomicUsize,
    /// The process id; 0 while no process runs.
    pid: AtomicI32,
    incarnations: Mutex<Incarnations>,
    /// Whether a fault has claimed the process, to end it and start it again.
    restart_claimed: AtomicBool,
    /// Whether the lab has asked the process to exit.
    stop_requested: AtomicBool,
    /// Whether the process has reported that it is ready for requests.
    pub ready: watch::Sender<bool>,
    has_exited: watch::Sender<bool>,
    /// The highest memory usage seen, in kilobytes.
    pub max_memory_kb: AtomicU64,
    /// The highest number of open descriptors seen.
    pub max_descriptors: AtomicU64,
    /// CPU time of the start that used most, in clock ticks of this machine.
    pub cpu_ticks: AtomicU64,
}

/// The disk faults of a balancer while no fault is injected: if its machine loses power during the run, its disk drops
/// writes that were not synced.
fn default_disk_faults(world: &World, balancer: usize) -> &'static str {
    let loses_power = |fault: &PlannedFault| {
        fault.kind == FaultKind::PowerLoss && fault.on.contains(&Party::Balancer(balancer))
    };
    if world.plan.faults.iter().any(loses_power) {
        "unsynced"
    } else {
        ""
    }
}

impl Process {
    /// Returns a balancer whose process is not started yet.
    pub fn new(
        index: usize,
        world: &World,
        agent: &Arc<Agent>,
        launch_specs: &[LaunchSpec],
        root: &Path,
    ) -> Process {
        let planned = &world.plan.balancers[index];
        let name = planned.name.clone();
        let files = Files::new(&world.folder, &name, default_disk_faults(world, index));
        Process {
            index,
            name,
            listen: world.block.balancer(index),
            agent: agent.clone(),
            launch_specs: launch_specs.to_vec(),
            build: AtomicUsize::new(launch_position(planned.build)),
            root: root.to_path_buf(),
            state: files.state.clone(),
            files,
            seed: world.plan.seed ^ 0x5eed << 32 ^ index as u64,
            starts: AtomicUsize::new(0),
            pid: AtomicI32::new(0),
            incarnations: Mutex::default(),
            restart_claimed: AtomicBool::new(false),
            stop_requested: AtomicBool::new(false),
            ready: watch::channel(false).0,
            has_exited: watch::channel(true).0,
            max_memory_kb: AtomicU64::new(0),
            max_descriptors: AtomicU64::new(0),
            cpu_ticks: AtomicU64::new(0),
        }
    }

    /// Writes the configuration, as the platform would.
    ///
    /// # Errors
    /// Fails when the folder can't be written to.
    pub fn write_config(&self, world: &World) -> Result<(), FileError> {
        let identity = Identity {
            index: self.index,
            name: &self.name,
            listen: self.listen,
            agent: &self.agent,
            seed: self.seed.wrapping_add(self.starts() as u64),
        };
        let text = config(&identity, world).to_string();
        atomic_file::replace(&self.files.config, &text)
    }

    /// Sets the faults of the balancer's disk; `None` restores the default ones.
    ///
    /// # Errors
    /// Fails when the folder can't be written to.
    pub fn set_disk_faults(&self, directive: Option<&str>) -> Result<(), FileError> {
        self.files.set_disk_faults(directive)
    }

    fn launch_spec(&self) -> &LaunchSpec {
        // Positions come from the plan, which has the same builds.
        &self.launch_specs[self.build.load(Ordering::SeqCst)]
    }

    /// Sets the build for the next start; `None` is the program under test.
    pub fn set_build(&self, build: Option<usize>) {
        self.build.store(launch_position(build), Ordering::SeqCst);
    }

    /// How often the process was started.
    pub fn starts(&self) -> usize {
        self.starts.load(Ordering::Relaxed)
    }

    /// Reads the metrics that the balancer has written, if any.
    pub fn read_metrics(&self) -> Option<BalancerMetrics> {
        self.files.read_metrics()
    }

    /// Checks that the incarnation of the latest start is higher than all before, once for each start, as soon as the
    /// metrics report it.
    pub fn check_incarnation(&self, world: &World) {
        let Some(metrics) = self.read_metrics() else {
            return;
        };
        let mut incarnations = lock(&self.incarnations);
        // The metrics may be from an earlier start.
        let is_of_this_start = metrics.at_ms - metrics.up_ms >= incarnations.started_unix_ms;
        let Some(incarnation) = metrics.incarnation.filter(|_| is_of_this_start) else {
            return;
        };
        let highest = incarnations.highest;
        if incarnation <= highest {
            let case = format!(
                "{} has incarnation {incarnation}, but an earlier start had {highest}",
                self.name
            );
            world.report_violation(Rule::Numbered, case);
        }
        *incarnations = Incarnations {
            started_unix_ms: f64::INFINITY,
            highest: highest.max(incarnation),
        };
    }

    /// Starts the process, and returns once it is ready, has exited or exceeds the time limit; the oracle is notified
    /// of the last two.
    ///
    /// # Errors
    /// Fails if its files can't be written or the shell can't be started.
    pub async fn start(
        self: &Arc<Self>,
        world: &Arc<World>,
        guard: &Guard,
    ) -> Result<(), ProcessError> {
        if self.starts.fetch_add(1, Ordering::Relaxed) == 0 {
            self.set_disk_faults(None)?;
        }
        self.check_incarnation(world);
        self.write_config(world)?;
        self.files.write_options(&self.launch_spec().options)?;
        let mut command = self.command(world)?;
        lock(&world.oracle).started(self.index, world.now());
        lock(&self.incarnations).started_unix_ms = world.clock.unix(world.now());
        let child = command.spawn().map_err(|source| ProcessError::Spawn {
            name: self.name.clone(),
            command: self.launch_spec().command.clone(),
            source,
        })?;
        lock(&world.tally).started(self.index, world.now());
        self.record_started(&child, guard);
        self.watch_exit(child, world, guard);
        self.wait_until_ready(world).await;
        Ok(())
    }

    /// The command of a start, with its environment.
    fn command(&self, world: &World) -> Result<Command, FileError> {
        let (log, errors) = self.files.open_log()?;
        let spec = self.launch_spec();
        let discovery = world.block.agent(self.index, self.agent.moves());
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &spec.command])
            .current_dir(&self.root)
            .env("NODE_NAME", &self.name)
            .env("NODE_LISTEN", self.listen.to_string())
            .env("NODE_DISCOVERY", discovery.to_string())
            .env("NODE_CONFIG", &self.files.config)
            .env("LAB_STATE", &self.state)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            // A separate process group, so that signals from the terminal reach the lab only.
            .process_group(0)
            .kill_on_drop(true);
        if !spec.options.is_empty() {
            // Earlier builds of the program read the second variable only.
            command
                .env("BALANCER_OPTIONS", &self.files.options)
                .env("HERONDOCK_OPTIONS", &self.files.options);
        }
        Ok(command)
    }

    fn record_started(&self, child: &Child, guard: &Guard) {
        let pid = child
            .id()
            .and_then(|id| i32::try_from(id).ok())
            .unwrap_or(0);
        guard.watch(pid);
        self.pid.store(pid, Ordering::SeqCst);
        self.stop_requested.store(false, Ordering::SeqCst);
        self.restart_claimed.store(false, Ordering::SeqCst);
        self.has_exited.send_replace(false);
    }

    /// Waits until the process is ready or has exited, for at most the time that the experiment allows.
    async fn wait_until_ready(&self, world: &World) {
        let ready_within = world.experiment.balancer.ready_within.0.mean();
        let ready_within = Duration::from_secs_f64(ready_within / 1000.0);
        let mut has_exited = self.has_exited.subscribe();
        let ready = async {
            while !self.is_ready().await {
                tokio::time::sleep(READINESS_INTERVAL).await;
            }
        };
        let is_front = world.plan.balancers[self.index].owner.is_none();
        tokio::select! {
            done = timeout(ready_within, ready) => match done {
                Ok(()) => {
                    self.ready.send_replace(true);
                    world.in_rotation[self.index].store(is_front, Ordering::SeqCst);
                }
                Err(_) => {
                    let case = format!("{} is not ready {ready_within:?} after its start", self.name);
                    world.report_violation(Rule::NotReady, case);
                }
            },
            // The task that watches the process reports its exit.
            _ = has_exited.wait_for(|has_exited| *has_exited) => {}
        }
    }

    /// Waits for the exit of the process in the background; an exit that the lab did not request breaks a rule.
    fn watch_exit(self: &Arc<Self>, mut child: Child, world: &Arc<World>, guard: &Guard) {
        let (own, world, guard) = (self.clone(), world.clone(), guard.clone());
        let pid = self.pid.load(Ordering::SeqCst);
        tokio::spawn(async move {
            let status = child.wait().await;
            guard.forget(pid);
            own.pid.store(0, Ordering::SeqCst);
            own.ready.send_replace(false);
            own.has_exited.send_replace(true);
            world.pools[own.index].clear();
            if own.stop_requested.load(Ordering::SeqCst) || *world.over.borrow() {
                return;
            }
            let how = status.map_or_else(|e| e.to_string(), |s| s.to_string());
            own.report_crash(&world, &how);
        });
    }

    fn report_crash(&self, world: &World, how: &str) {
        let now = world.now();
        {
            let mut oracle = lock(&world.oracle);
            oracle.exclude_interval(self.index, now, f64::INFINITY);
            oracle.stopped(self.index, now);
        }
        let case = format!(
            "{} exited unexpectedly: {how}; see {}",
            self.name,
            self.files.log.display()
        );
        world.report_violation(Rule::Crashed, case);
        world.in_rotation[self.index].store(false, Ordering::SeqCst);
    }

    async fn is_ready(&self) -> bool {
        let check = async {
            let mut stream = TcpStream::connect(self.listen).await.ok()?;
            stream.write_all(READINESS_REQUEST).await.ok()?;
            let mut response = [0; 12];
            stream.read_exact(&mut response).await.ok()?;
            (&response == b"HTTP/1.1 200").then_some(())
        };
        timeout(READINESS_TIMEOUT, check)
            .await
            .is_ok_and(|ready| ready.is_some())
    }

    /// Claims the process for a fault that restarts it; returns false if another fault has claimed it.
    pub fn claim_restart(&self) -> bool {
        !self.restart_claimed.swap(true, Ordering::SeqCst)
    }

    /// Whether the process runs, is ready, was not asked to exit, and exchanges datagrams with its peers.
    pub fn exchanges_datagrams(&self) -> bool {
        let peers = self.launch_spec().options.get("peers");
        let on = peers.and_then(|peers| peers.get("on"));
        let serves = self.is_running()
            && *self.ready.borrow()
            && !self.stop_requested.load(Ordering::SeqCst);
        serves && on.and_then(toml::Value::as_bool) == Some(true)
    }

    /// Whether the process runs.
    pub fn is_running(&self) -> bool {
        self.pid.load(Ordering::SeqCst) != 0
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        let pid = self.pid.load(Ordering::SeqCst);
        if pid > 0 {
            // The process may have exited in the meantime.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Sends a signal to the process, if it runs, and marks its exit as requested by the lab.
    pub fn stop(&self, signal: Signal) {
        self.stop_requested.store(true, Ordering::SeqCst);
        self.signal(signal);
    }

    /// Waits until the process has exited.
    pub async fn exited(&self) {
        let mut has_exited = self.has_exited.subscribe();
        // The sender is owned by `self`, so this can't fail.
        let _ = has_exited.wait_for(|has_exited| *has_exited).await;
    }

    /// Samples the resource usage of the process and the age of the data that it acts on, and checks their limits.
    pub fn sample_usage(&self, world: &World) {
        let pid = self.pid.load(Ordering::SeqCst);
        if pid <= 0 {
            return;
        }
        self.check_ages(world);
        let Some(usage) = Usage::read(pid) else {
            return;
        };
        self.cpu_ticks.fetch_max(usage.cpu_ticks, Ordering::Relaxed);
        self.check_memory(world, usage.memory_kb);
        self.check_descriptors(world, usage.descriptors);
    }

    fn check_ages(&self, world: &World) {
        let Some(max_age) = world.experiment.bounds.age else {
            return;
        };
        for (what, age) in self
            .read_metrics()
            .iter()
            .flat_map(BalancerMetrics::shared_data_ages)
        {
            let (now, max_age) = (world.now(), max_age.0.mean());
            lock(&world.oracle).check_age(now, self.index, what, age, max_age);
        }
    }

    fn check_memory(&self, world: &World, memory_kb: u64) {
        self.max_memory_kb.fetch_max(memory_kb, Ordering::Relaxed);
        let limit_kb = world.experiment.balancer.memory_mb * 1024;
        if memory_kb > limit_kb {
            let case = format!(
                "{} uses {memory_kb} kB of memory, limit {limit_kb} kB",
                self.name
            );
            world.report_violation(Rule::Memory, case);
        }
    }

    /// Checks each new maximum only, so that a count that stays above the limit is reported once.
    fn check_descriptors(&self, world: &World, descriptors: u64) {
        let limit = world.experiment.balancer.sockets as u64;
        let before = self
            .max_descriptors
            .fetch_max(descriptors, Ordering::Relaxed);
        if before < descriptors && descriptors > limit {
            let case = format!(
                "{} has {descriptors} open descriptors, limit {limit}",
                self.name
            );
            world.report_violation(Rule::Descriptors, case);
        }
    }
}

/// The position of a build among the launch specifications; `None` is the program under test.
fn launch_position(build: Option<usize>) -> usize {
    build.map_or(0, |build| build + 1)
}
