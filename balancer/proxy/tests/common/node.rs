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

/// A running balancer process; killed when dropped.
pub(crate) struct Node {
    child: Child,
    pub addr: SocketAddr,
    /// Held so that discovery stays connected without responding.
    pub discovery: Discovery,
    config: PathBuf,
    log: Arc<Mutex<Vec<String>>>,
    reader: Option<thread::JoinHandle<()>>,
}

/// A command that runs the balancer with this configuration.
pub(crate) fn command(config: &str) -> Command {
    with_config_file(config, Command::new(env!("CARGO_BIN_EXE_balancer-proxy")))
}

/// As [`command`], under a limit of descriptors lower than the one that the configuration states.
pub(crate) fn limited_command(config: &str, descriptors: usize) -> Command {
    let mut shell = Command::new("sh");
    let exec = format!(
        "ulimit -n {descriptors}; exec {}",
        env!("CARGO_BIN_EXE_balancer-proxy")
    );
    shell.args(["-c", &exec]);
    with_config_file(config, shell)
}

fn with_config_file(config: &str, mut command: Command) -> Command {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let name = format!(
        "node-{}-{}.json",
        std::process::id(),
        NUMBER.fetch_add(1, Ordering::SeqCst)
    );
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).expect("write the configuration");
    command
        .env("NODE_CONFIG", path)
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    command
}

impl Node {
    /// A balancer with this socket limit that starts with this list.
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
        let mut child = command.spawn().expect("spawn");
        let mut log = BufReader::new(child.stderr.take().expect("captured stderr"));
        let mut startup_lines = Vec::new();
        let addr = loop {
            let mut line = String::new();
            assert_ne!(
                log.read_line(&mut line).expect("a log line"),
                0,
                "the balancer exited before serving"
            );
            if let Some((_, addr)) = line.trim_end().split_once("serving on ") {
                break addr.parse().expect("socket address");
            }
            startup_lines.push(line.trim_end().to_string());
        };
        let lines = Arc::new(Mutex::new(startup_lines));
        let shared = lines.clone();
        let reader = thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                shared.lock().expect("lock not poisoned").push(line);
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

    /// A balancer that starts with these upstreams and whose discovery does not respond.
    pub(crate) fn with_upstreams(upstreams: &[SocketAddr]) -> Node {
        let servers: Vec<_> = upstreams
            .iter()
            .enumerate()
            .map(|(n, &a)| (n, a, "active"))
            .collect();
        Node::start(1024, &listing(1, true, &servers))
    }

    /// The lines logged so far, except the one with its address.
    pub(crate) fn log(&self) -> Vec<String> {
        self.log.lock().expect("lock not poisoned").clone()
    }

    /// The process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// The number of open file descriptors.
    pub(crate) fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).expect("open descriptors").count()
    }

    /// Waits until `wanted` holds for the number of open descriptors.
    pub(crate) fn wait_for_descriptors(&self, wanted: impl Fn(usize) -> bool, failure: &str) {
        let started = Instant::now();
        while !wanted(self.descriptors()) {
            assert!(started.elapsed() < TEST_TIMEOUT, "{failure}");
            thread::yield_now();
        }
    }

    pub(crate) fn terminate(&self) {
        self.signal("TERM");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub(crate) fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).expect("write the configuration");
        self.send_sighup();
    }

    /// Sends SIGHUP, on which the balancer reloads its configuration and options.
    pub(crate) fn send_sighup(&self) {
        self.signal("HUP");
    }

    /// Sends SIGSTOP and waits until the process is stopped.
    pub(crate) fn pause(&self) {
        self.signal("STOP");
        let path = format!("/proc/{}/stat", self.child.id());
        let started = Instant::now();
        while !std::fs::read_to_string(&path)
            .expect("process state")
            .contains(") T ")
        {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "the process does not stop"
            );
            thread::yield_now();
        }
    }

    /// Sends SIGCONT.
    pub(crate) fn resume(&self) {
        self.signal("CONT");
    }

    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh")
            .args(["-c", &kill])
            .status()
            .expect("run sh")
            .success());
    }

    /// Waits for a log line that contains `text`.
    pub(crate) fn wait_for_log(&self, text: &str) {
        self.wait_for_log_times(text, 1);
    }

    /// Waits for this number of log lines that contain `text`.
    pub(crate) fn wait_for_log_times(&self, text: &str, times: usize) {
        let started = Instant::now();
        while self.log().iter().filter(|l| l.contains(text)).count() < times {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "{text:?} is not in the log: {:?}",
                self.log()
            );
            thread::yield_now();
        }
    }

    /// Whether the process has exited.
    pub(crate) fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("process state").is_some()
    }

    /// Waits until the process has exited and its log has been read.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        let status = self.child.wait().expect("exits");
        if let Some(reader) = self.reader.take() {
            reader.join().expect("log reader ends");
        }
        status
    }

    pub(crate) fn client(&self) -> Client {
        self.try_client().expect("connect")
    }

    /// Returns `None` when the balancer no longer listens.
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
