//! A balancer as a process: its start, its signals, what it holds, its end.
use super::config::{config, Who};
use super::holds::holds;
use crate::agent::Agent;
use crate::audit::Counted;
use crate::draw::{Party, PlannedFault};
use crate::experiment::FaultKind;
use crate::guard::Guard;
use crate::net::lock;
use crate::oracle::Rule;
use crate::whole_file;
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

/// How often one that starts is asked whether it is ready.
const ASK: Duration = Duration::from_millis(5);

/// An answer to that is waited for this long.
const ANSWER: Duration = Duration::from_millis(500);

/// What a balancer runs.
#[derive(Clone, Debug)]
pub struct Runs {
    /// The shell's command that becomes it.
    pub command: String,
    /// Its options.
    pub options: toml::Table,
}

/// One balancer.
pub struct Process {
    index: usize,
    name: String,
    listen: SocketAddr,
    agent: Arc<Agent>,
    /// What it can run: the program under test, then each build; and which it is from its next start on.
    builds: Vec<Runs>,
    build: AtomicUsize,
    root: PathBuf,
    config: PathBuf,
    options: PathBuf,
    /// Its own folder, which outlives it.
    pub state: PathBuf,
    /// The file that names the faults of its disk, and those that it has by default.
    drill: PathBuf,
    usually: &'static str,
    log: PathBuf,
    seed: u64,
    starts: AtomicUsize,
    pid: AtomicI32,
    /// When it was begun last: Unix time, in milliseconds; and the highest number that a start of it had.
    numbered: Mutex<(f64, u64)>,
    /// A fault has ended it, or is about to, and will start it again.
    down: AtomicBool,
    /// Its end is the lab's doing.
    told_to_end: AtomicBool,
    /// Ready to be used.
    pub ready: watch::Sender<bool>,

    gone: watch::Sender<bool>,
    child: Mutex<Option<Child>>,
    /// The most memory, in kilobytes, and the most descriptors that it was seen to hold.
    pub most_memory: AtomicU64,
    /// See there.
    pub most_descriptors: AtomicU64,
    /// Time it has spent on a core, in clock ticks of this machine, over all its starts.
    pub ticks: AtomicU64,
}

impl Process {
    /// One that does not run yet.
    pub fn new(
        index: usize,
        world: &World,
        agent: &Arc<Agent>,
        builds: &[Runs],
        root: &Path,
    ) -> Process {
        let name = world.plan.balancers[index].name.clone();
        let folder = &world.folder;
        let meets = |f: &PlannedFault| {
            f.kind == FaultKind::PowerLoss && f.on.contains(&Party::Balancer(index))
        };
        // Whoever is to lose power has a disk that keeps for itself what was not synced.
        let usually = if world.plan.faults.iter().any(meets) {
            "unsynced"
        } else {
            ""
        };
        Process {
            index,
            listen: world.block.balancer(index),
            agent: agent.clone(),
            builds: builds.to_vec(),
            build: AtomicUsize::new(world.plan.balancers[index].build.map_or(0, |b| b + 1)),
            root: root.to_path_buf(),
            config: folder.join("config").join(format!("{name}.json")),
            options: folder.join("config").join(format!("{name}.toml")),
            state: folder.join("state").join(&name),
            drill: folder.join("config").join(format!("{name}.drill")),
            usually,
            log: folder.join("logs").join(format!("{name}.log")),
            seed: world.plan.seed ^ 0x5eed << 32 ^ index as u64,
            starts: AtomicUsize::new(0),
            pid: AtomicI32::new(0),
            numbered: Mutex::default(),
            down: AtomicBool::new(false),
            told_to_end: AtomicBool::new(false),
            ready: watch::channel(false).0,

            gone: watch::channel(true).0,
            child: Mutex::new(None),
            most_memory: AtomicU64::new(0),
            most_descriptors: AtomicU64::new(0),
            ticks: AtomicU64::new(0),
            name,
        }
    }

    /// Writes its configuration, as the platform would.
    pub fn configure(&self, world: &World) -> Result<(), String> {
        let seed = self.seed.wrapping_add(self.starts() as u64);
        let (name, agent) = (self.name.as_str(), self.agent.as_ref());
        let who = Who {
            index: self.index,
            name,
            listen: self.listen,
            agent,
            seed,
        };
        let text = config(&who, world).to_string();
        whole_file::replace(&self.config, &text)
    }

    /// Writes its options, if the experiment has any; its own folder is there from then on.
    fn write_options(&self) -> Result<(), String> {
        let told = |path: &Path, e: std::io::Error| format!("{}: {e}", path.display());
        std::fs::create_dir_all(&self.state).map_err(|e| told(&self.state, e))?;
        let text = self.now_runs().options.to_string();
        let text = text.replace("{state}", &self.state.display().to_string());
        let text = text.replace("{drill}", &self.drill.display().to_string());
        std::fs::write(&self.options, text).map_err(|e| told(&self.options, e))
    }

    /// Its disk has these faults from now on, or its default ones.
    pub fn disk(&self, does: Option<&str>) -> Result<(), String> {
        whole_file::replace(&self.drill, does.unwrap_or(self.usually))
    }

    fn now_runs(&self) -> &Runs {
        // Positions come from the plan, whose builds are these.
        &self.builds[self.build.load(Ordering::SeqCst)]
    }

    /// Which build it is from its next start on; none is the program under test.
    pub fn becomes(&self, build: Option<usize>) {
        self.build
            .store(build.map_or(0, |b| b + 1), Ordering::SeqCst);
    }

    /// How often it was started.
    pub fn starts(&self) -> usize {
        self.starts.load(Ordering::Relaxed)
    }

    /// What it has written of its figures, if it writes any.
    pub fn figures(&self) -> Option<Counted> {
        let text = std::fs::read(self.state.join("figures.json")).ok()?;
        serde_json::from_slice(&text).ok()
    }

    /// Has the oracle judge the number of its last start, if that has written it.
    pub fn check_number(&self, world: &World) {
        let Some(counted) = self.figures() else {
            return;
        };
        let mut numbered = lock(&self.numbered);
        let (begun, highest) = *numbered;
        // The figures may be those of a start before.
        let Some(number) = counted
            .incarnation
            .filter(|_| counted.at_ms - counted.up_ms >= begun)
        else {
            return;
        };
        if number <= highest {
            let what = format!(
                "{} has number {number} after one that had {highest}",
                self.name
            );
            world.breaks(Rule::Numbered, what);
        }
        // Once for each start.
        *numbered = (f64::INFINITY, highest.max(number));
    }

    /// Starts it, and returns once it is ready. What goes wrong is the oracle's to judge.
    pub async fn start(self: &Arc<Self>, world: &Arc<World>, guard: &Guard) -> Result<(), String> {
        if self.starts.fetch_add(1, Ordering::Relaxed) == 0 {
            self.disk(None)?;
        }
        self.check_number(world);
        self.configure(world)?;
        self.write_options()?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.map_err(|e| format!("{}: {e}", self.log.display()))?;
        let errors = log
            .try_clone()
            .map_err(|e| format!("{}: {e}", self.log.display()))?;
        let b = &world.plan.balancers[self.index];
        let runs = self.now_runs();
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &runs.command])
            .current_dir(&self.root)
            .env("NODE_NAME", &self.name)
            .env("NODE_LISTEN", self.listen.to_string())
            .env(
                "NODE_DISCOVERY",
                world
                    .block
                    .agent(self.index, self.agent.moves())
                    .to_string(),
            )
            .env("NODE_CONFIG", &self.config)
            .env("LAB_STATE", &self.state)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            // A group of its own: what the terminal sends the lab is the lab's to pass on.
            .process_group(0)
            .kill_on_drop(true);
        if !runs.options.is_empty() {
            // Earlier builds of the program know the second name only.
            command
                .env("BALANCER_OPTIONS", &self.options)
                .env("HERONDOCK_OPTIONS", &self.options);
        }
        lock(&world.oracle).starts(self.index, world.now());
        lock(&self.numbered).0 = world.clock.unix(world.now());
        let child = command
            .spawn()
            .map_err(|e| format!("{}: {}: {e}", self.name, runs.command))?;
        lock(&world.tally).started(self.index, world.now());
        let pid = child
            .id()
            .and_then(|id| i32::try_from(id).ok())
            .unwrap_or(0);
        guard.watch(pid);
        self.pid.store(pid, Ordering::SeqCst);
        self.told_to_end.store(false, Ordering::SeqCst);
        self.down.store(false, Ordering::SeqCst);
        self.gone.send_replace(false);
        *lock(&self.child) = Some(child);
        self.look_after(world, guard);
        let within =
            Duration::from_secs_f64(world.experiment.balancer.ready_within.0.mean() / 1000.0);
        let mut gone = self.gone.subscribe();
        let ready = async {
            while !self.is_ready().await {
                tokio::time::sleep(ASK).await;
            }
        };
        tokio::select! {
            done = timeout(within, ready) => match done {
                Ok(()) => {
                    self.ready.send_replace(true);
                    world.dealt[self.index].store(b.owner.is_none(), Ordering::SeqCst);
                }
                Err(_) => world.breaks(Rule::NotReady, format!("{} is not ready after {within:?}", self.name)),
            },
            // Its end is reported by the task that watches it.
            _ = gone.wait_for(|gone| *gone) => {}
        }
        Ok(())
    }

    /// Waits for its end, in the background.
    fn look_after(self: &Arc<Self>, world: &Arc<World>, guard: &Guard) {
        let Some(mut child) = lock(&self.child).take() else {
            return;
        };
        let (own, world, guard) = (self.clone(), world.clone(), guard.clone());
        let pid = self.pid.load(Ordering::SeqCst);
        tokio::spawn(async move {
            let status = child.wait().await;
            guard.forget(pid);
            own.pid.store(0, Ordering::SeqCst);
            own.ready.send_replace(false);
            own.gone.send_replace(true);
            world.pools[own.index].clear();
            if own.told_to_end.load(Ordering::SeqCst) || *world.over.borrow() {
                return;
            }
            let how = status.map_or_else(|e| e.to_string(), |s| s.to_string());
            let now = world.now();
            {
                let mut oracle = lock(&world.oracle);
                oracle.excuse(own.index, now, f64::INFINITY);
                oracle.stops(own.index, now);
            }
            world.breaks(
                Rule::Crashed,
                format!(
                    "{} ended by itself: {how}; see {}",
                    own.name,
                    own.log.display()
                ),
            );
            world.dealt[own.index].store(false, Ordering::SeqCst);
        });
    }

    async fn is_ready(&self) -> bool {
        let ask = async {
            let mut stream = TcpStream::connect(self.listen).await.ok()?;
            let ask =
                "GET /-/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n";
            stream.write_all(ask.as_bytes()).await.ok()?;
            let mut answer = [0; 12];
            stream.read_exact(&mut answer).await.ok()?;
            (&answer == b"HTTP/1.1 200").then_some(())
        };
        timeout(ANSWER, ask).await.is_ok_and(|a| a.is_some())
    }

    /// Takes it for a fault that ends it and starts it again. Not if another one has it.
    pub fn take_down(&self) -> bool {
        !self.down.swap(true, Ordering::SeqCst)
    }

    /// Whether it runs, serves and was not asked to end, and exchanges datagrams with its peers.
    pub fn is_peer(&self) -> bool {
        let on = self
            .now_runs()
            .options
            .get("peers")
            .and_then(|p| p.get("on"));
        let stands =
            self.runs() && *self.ready.borrow() && !self.told_to_end.load(Ordering::SeqCst);
        stands && on.and_then(toml::Value::as_bool) == Some(true)
    }

    /// Whether it runs.
    pub fn runs(&self) -> bool {
        self.pid.load(Ordering::SeqCst) != 0
    }

    /// Sends it a signal, if it runs. Its end from then on is the lab's doing where `ends`.
    pub fn signal(&self, signal: Signal, ends: bool) {
        if ends {
            self.told_to_end.store(true, Ordering::SeqCst);
        }
        let pid = self.pid.load(Ordering::SeqCst);
        if pid > 0 {
            // It may have ended this moment.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Waits until it has ended.
    pub async fn ended(&self) {
        // The sender lives as long as this does.
        let _ = self.gone.subscribe().wait_for(|gone| *gone).await;
    }

    /// Looks at what it holds, and has the oracle judge it.
    pub fn look(&self, world: &World) {
        let pid = self.pid.load(Ordering::SeqCst);
        if pid <= 0 {
            return;
        }
        if let Some(most) = world.experiment.bounds.age {
            for (what, age) in self.figures().iter().flat_map(Counted::acts_on) {
                lock(&world.oracle).acts_on(world.now(), self.index, what, age, most.0.mean());
            }
        }
        let Some((memory, descriptors, ticks)) = holds(pid) else {
            return;
        };
        self.most_memory.fetch_max(memory, Ordering::Relaxed);
        self.ticks.fetch_max(ticks, Ordering::Relaxed);
        let limit = world.experiment.balancer.memory_mb * 1024;
        if memory > limit {
            world.breaks(
                Rule::Memory,
                format!("{} holds {memory} kB of {limit}", self.name),
            );
        }
        let limit = world.experiment.balancer.sockets as u64;
        if self
            .most_descriptors
            .fetch_max(descriptors, Ordering::Relaxed)
            < descriptors
            && descriptors > limit
        {
            world.breaks(
                Rule::Descriptors,
                format!("{} holds {descriptors} descriptors of {limit}", self.name),
            );
        }
    }
}
