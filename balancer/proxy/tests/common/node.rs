//! The balancer under test, as a process.
use super::{config, listing, Client, Discovery, TEST_TIMEOUT};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// A running balancer; killed when dropped.
pub(crate) struct Node {
    child: Child,
    pub addr: SocketAddr,
    /// Kept, so that it is silent and not gone.
    pub discovery: Discovery,
    config: PathBuf,
    log: Arc<Mutex<Vec<String>>>,
    reader: Option<thread::JoinHandle<()>>,
}

/// The balancer with this configuration.
pub(crate) fn command(config: &str) -> Command {
    prepared(config, Command::new(env!("CARGO_BIN_EXE_balancer-proxy")))
}

/// The same under a limit of descriptors that the configuration does not tell of.
pub(crate) fn limited_command(config: &str, descriptors: usize) -> Command {
    let mut shell = Command::new("sh");
    let exec = format!(
        "ulimit -n {descriptors}; exec {}",
        env!("CARGO_BIN_EXE_balancer-proxy")
    );
    shell.args(["-c", &exec]);
    prepared(config, shell)
}

fn prepared(config: &str, mut command: Command) -> Command {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let name = format!(
        "node-{}-{}.json",
        std::process::id(),
        NUMBER.fetch_add(1, Ordering::SeqCst)
    );
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).expect("writes the configuration");
    command
        .env("NODE_CONFIG", path)
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    command
}

impl Node {
    /// A balancer that starts with this list.
    pub(crate) fn start(sockets: usize, known: &str) -> Node {
        let discovery = Discovery::start();
        let command = command(&config(discovery.addr, sockets, known));
        Node::run(command, discovery)
    }

    pub(crate) fn run(mut command: Command, discovery: Discovery) -> Node {
        let config = command
            .get_envs()
            .find(|(name, _)| *name == "NODE_CONFIG")
            .and_then(|(_, path)| path);
        let config = PathBuf::from(config.expect("a configuration"));
        let mut child = command.spawn().expect("starts");
        let mut log = BufReader::new(child.stderr.take().expect("its log"));
        let mut before = Vec::new();
        let addr = loop {
            let mut line = String::new();
            assert_ne!(
                log.read_line(&mut line).expect("a log line"),
                0,
                "it ended at once"
            );
            if let Some((_, addr)) = line.trim_end().split_once("serving on ") {
                break addr.parse().expect("an address");
            }
            before.push(line.trim_end().to_string());
        };
        let lines = Arc::new(Mutex::new(before));
        let shared = lines.clone();
        let reader = thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                shared.lock().expect("no panic").push(line);
            }
        });
        Node {
            child,
            addr,
            discovery,
            config,
            log: lines,
            reader: Some(reader),
        }
    }

    /// A balancer that knows these upstreams, and whose discovery is silent.
    pub(crate) fn with(upstreams: &[SocketAddr]) -> Node {
        let servers: Vec<_> = upstreams
            .iter()
            .enumerate()
            .map(|(n, &a)| (n, a, "active"))
            .collect();
        Node::start(1024, &listing(1, true, &servers))
    }

    /// What it has logged, but for the line that it serves.
    pub(crate) fn log(&self) -> Vec<String> {
        self.log.lock().expect("no panic").clone()
    }

    /// Its number in the system.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// How many descriptors it holds.
    pub(crate) fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).expect("its descriptors").count()
    }

    /// Waits until the number of its descriptors is as wanted.
    pub(crate) fn holds(&self, wanted: impl Fn(usize) -> bool, otherwise: &str) {
        let started = Instant::now();
        while !wanted(self.descriptors()) {
            assert!(started.elapsed() < TEST_TIMEOUT, "{otherwise}");
            thread::yield_now();
        }
    }

    pub(crate) fn terminate(&self) {
        self.signal("TERM");
    }

    /// Replaces its configuration and tells it so.
    pub(crate) fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).expect("writes the configuration");
        self.hang_up();
    }

    /// Tells it to read everything again.
    pub(crate) fn hang_up(&self) {
        self.signal("HUP");
    }

    /// Stops it where it is, and waits until it stands.
    pub(crate) fn pause(&self) {
        self.signal("STOP");
        let path = format!("/proc/{}/stat", self.child.id());
        let started = Instant::now();
        while !std::fs::read_to_string(&path)
            .expect("its state")
            .contains(") T ")
        {
            assert!(started.elapsed() < TEST_TIMEOUT, "it does not stop");
            thread::yield_now();
        }
    }

    /// Lets it go on.
    pub(crate) fn resume(&self) {
        self.signal("CONT");
    }

    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh")
            .args(["-c", &kill])
            .status()
            .expect("runs sh")
            .success());
    }

    /// Waits until it has logged a line with this text.
    pub(crate) fn logs(&self, text: &str) {
        self.logs_times(text, 1);
    }

    /// The same until it has logged so many.
    pub(crate) fn logs_times(&self, text: &str, times: usize) {
        let started = Instant::now();
        while self.log().iter().filter(|l| l.contains(text)).count() < times {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "{text:?} is not in {:?}",
                self.log()
            );
            thread::yield_now();
        }
    }

    /// Whether it has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("its state").is_some()
    }

    /// Waits until it has ended and its log is read.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        let status = self.child.wait().expect("it ends");
        if let Some(reader) = self.reader.take() {
            reader.join().expect("the log is read");
        }
        status
    }

    pub(crate) fn client(&self) -> Client {
        self.try_client().expect("connects")
    }

    /// `None`: it does not listen any more.
    pub(crate) fn try_client(&self) -> Option<Client> {
        Client::connect(self.addr)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
