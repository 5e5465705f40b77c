//! Starts the project's processes with the commands of the deploy file, each machine on a loopback address of its own.
use crate::{
    http::{call, Answer},
    json::Json,
    record::Record,
};
use std::{
    fs::File,
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

const PROGRAM: &str = "target/system/magpiegap";
const CONTROL_PORT: u16 = 8146;
const FRONTEND_PORT: u16 = 8144;
const READINESS_PORT: u16 = 8140;
const CORE: u8 = 3;
const EDGE: u8 = 2;
/// `graceS` of the settings.
const GRACE: Duration = Duration::from_secs(6);
/// The host of all queues.
pub const HOST: &str = "ficu95.example";

/// The processes that were started, for a case that is ended before its time.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn started() -> MutexGuard<'static, Vec<u32>> {
    STARTED.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Process {
    name: String,
    child: Child,
}

/// A small deployment: three coordinators, and two machines with a proxy and an agent each.
pub struct Cluster {
    net: u8,
    folder: PathBuf,
    platform: SocketAddr,
    processes: Vec<Process>,
    record: Record,
}

impl Cluster {
    /// Starts all processes, in the repository's root.
    pub fn start(platform: SocketAddr, record: &Record) -> io::Result<Cluster> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut cluster = Cluster {
            net: free_net()?,
            folder,
            platform,
            processes: Vec::new(),
            record: record.clone(),
        };
        for number in 1..=CORE {
            cluster.spawn("coordinator", number, true)?;
        }
        for number in 1..=EDGE {
            cluster.spawn("agent", number, true)?;
            cluster.spawn("proxy", number, true)?;
        }
        Ok(cluster)
    }

    fn ip(&self, role: &str, number: u8) -> Ipv4Addr {
        let class = if role == "coordinator" { 61 } else { 62 };
        Ipv4Addr::new(127, self.net, class, number)
    }

    /// The `controlPlane` address of a coordinator.
    pub fn control(&self, number: u8) -> SocketAddr {
        SocketAddr::from((self.ip("coordinator", number), CONTROL_PORT))
    }

    /// The `frontend` address of a proxy.
    pub fn frontend(&self, number: u8) -> SocketAddr {
        SocketAddr::from((self.ip("proxy", number), FRONTEND_PORT))
    }

    fn spawn(&mut self, role: &'static str, number: u8, bootstrap: bool) -> io::Result<()> {
        let name = format!("{role}-{number}");
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, self.settings(&name, role, number, bootstrap))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let mut command = Command::new(PROGRAM);
        command
            .arg(role)
            .env_clear()
            .env("MAGPIEGAP_BOOT", &settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(format!("{name} started"));
        self.processes.retain(|process| process.name != name);
        STARTED
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(child.id());
        self.processes.push(Process { name, child });
        Ok(())
    }

    fn settings(&self, name: &str, role: &str, number: u8, bootstrap: bool) -> String {
        let ip = self.ip(role, number);
        let zone = ["salt-lake", "new-town", "howrah"][usize::from(number - 1) % 3];
        let seeds: Vec<String> = (1..=CORE)
            .map(|number| format!("\"{}\"", self.control(number)))
            .collect();
        let (class, listen, disk, counts) = match role {
            "coordinator" => (
                "core",
                format!("controlPlane = \"{ip}:{CONTROL_PORT}\""),
                format!(
                    "dataDir = \"{}\"\n",
                    self.folder.join(format!("{name}-data")).display()
                ),
                true,
            ),
            _ => (
                "edge",
                format!(
                    "frontend = \"{ip}:{FRONTEND_PORT}\"\nreadiness = \"{ip}:{READINESS_PORT}\""
                ),
                String::new(),
                false,
            ),
        };
        format!(
            "nodeName = \"{name}\"\nrole = \"{role}\"\nmachineClass = \"{class}\"\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"kolkata\"\ninternalPortRange = [7660,7675]\nseeds = [{}]\nbootstrap = {bootstrap}\n\
             countsForQuorum = {counts}\n{disk}discovery = \"cloud_api\"\nentryMode = \"vip\"\nheartbeatMs = 1400\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"]\ncommands = \"invocation\"\n\
             [zones]\nsalt-lake = \"kolkata\"\nnew-town = \"kolkata\"\nhowrah = \"kolkata\"\n[listen]\n{listen}\n\
             [limits]\ncpuShare = 0.5\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 128\n\
             [faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseDelayS = 2\ncontactMs = 3000\nackTimeoutMs = 4000\ncatchUpS = 4\n\
             drainMs = 3000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n\
             maxStretchMs = 5000\nrecoveryS = 12\nmaxHoldMs = 6000\nstop_ms = 400\ngang_ms = 3000\ncancel_ms = 3000\n\
             visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nfar_x = 3\nsave_s = 1\nrestore_ms = 600\n\
             [cloud]\naddress = \"{}\"\nratePerS = 30.0\nduties = []\nmaxLagMs = 800\n",
            seeds.join(","),
            self.platform,
        )
    }

    /// Stops a coordinator with SIGTERM, as the platform does.
    pub fn stop(&mut self, number: u8) -> io::Result<()> {
        let name = format!("coordinator-{number}");
        self.record.line(format!("SIGTERM to {name}"));
        let found = self.processes.iter().find(|process| process.name == name);
        let process = found.ok_or(io::ErrorKind::NotFound)?;
        signal(process.child.id(), "TERM")?;
        Ok(())
    }

    /// Waits until a coordinator that was stopped has ended, with SIGKILL after `graceS`, and starts it again.
    pub fn restart(&mut self, number: u8) -> io::Result<()> {
        let name = format!("coordinator-{number}");
        let until = Instant::now() + GRACE;
        if let Some(process) = self
            .processes
            .iter_mut()
            .find(|process| process.name == name)
        {
            while process.child.try_wait()?.is_none() && Instant::now() < until {
                std::thread::sleep(Duration::from_millis(20));
            }
            let _ = process.child.kill();
            let status = process.child.wait()?;
            started().retain(|pid| *pid != process.child.id());
            self.record.line(format!("{name} has ended: {status}"));
        }
        self.spawn("coordinator", number, false)
    }

    /// The coordinator that gives orders to the upstreams of a service, as `cluster status` says.
    pub fn holder(&self, service: &str) -> Option<u8> {
        let to = self.control(1);
        let answer = call(
            to,
            "GET",
            "/-/Cluster.Describe",
            &[("Host", HOST)],
            b"",
            Duration::from_secs(1),
        )
        .ok()?;
        let body = Json::parse(&answer.body)?;
        let Json::List(roles) = body.get("roles")? else {
            return None;
        };
        let role = roles
            .iter()
            .find(|role| role.text("role").is_some_and(|name| name.contains(service)))?;
        let holder = role.text("holder")?;
        self.record
            .line(format!("{} is held by {holder}", role.text("role")?));
        (1..=CORE).find(|number| holder == self.ip("coordinator", *number).to_string())
    }

    /// Sends a configuration as the operator does: unchanged, to one coordinator after the other, until the answer is clear.
    pub fn replace(&mut self, base: u64, body: &str) -> io::Result<u16> {
        let until = Instant::now() + Duration::from_secs(20);
        let mut pause = Duration::from_millis(100);
        let mut number = 1;
        loop {
            let base_text = base.to_string();
            let headers = [("Host", HOST), ("Base-Version", base_text.as_str())];
            let shown: String = body.chars().take(60).collect();
            self.record.line(format!(
                "operator: Config.Replace on {base} at coordinator-{number}: {shown}..."
            ));
            let answer = call(
                self.control(number),
                "POST",
                "/-/Config.Replace",
                &headers,
                body.as_bytes(),
                Duration::from_secs(1),
            );
            self.record
                .line(format!("operator: answer {}", shown_answer(&answer)));
            if let Ok(Answer { status, .. }) = answer {
                if matches!(status, 200 | 400 | 409 | 412 | 413 | 422) {
                    return Ok(status);
                }
            }
            if Instant::now() > until {
                return Ok(0);
            }
            std::thread::sleep(pause);
            pause = (pause * 2).min(Duration::from_secs(1));
            number = number % CORE + 1;
        }
    }

    /// Waits until both proxies call themselves ready.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        let is_ready = |number| {
            let address = SocketAddr::from((self.ip("proxy", number), READINESS_PORT));
            let answer = call(
                address,
                "GET",
                "/-/ready",
                &[("Host", "x")],
                b"",
                Duration::from_secs(1),
            );
            matches!(answer, Ok(Answer { status: 200, .. }))
        };
        while Instant::now() < until {
            if (1..=EDGE).all(is_ready) {
                self.record.line("both proxies are ready");
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// A call of a client: the answer of one proxy after the other, sent again after silence, a cut, 429, 502, 503 or 504.
    pub fn client(&self, method: &str, path: &str, body: &str, tries: u8) -> Option<Answer> {
        for turn in 0..tries {
            let number = turn % EDGE + 1;
            let answer = call(
                self.frontend(number),
                method,
                path,
                &[("Host", HOST), ("Deadline-Ms", "3000")],
                body.as_bytes(),
                Duration::from_secs(3),
            );
            self.record.line(format!(
                "client: {method} {path} {body} at proxy-{number}: {}",
                shown_answer(&answer)
            ));
            match answer {
                Ok(answer) if !matches!(answer.status, 429 | 502 | 503 | 504) => {
                    return Some(answer)
                }
                _ => std::thread::sleep(Duration::from_millis(500)),
            }
        }
        None
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        started().clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Sends a signal by the shell's own `kill`, which needs no package.
fn signal(pid: u32, name: &str) -> io::Result<()> {
    Command::new("sh")
        .arg("-c")
        .arg(format!("kill -{name} {pid}"))
        .status()
        .map(|_| ())
}

/// Ends all processes that were started.
pub fn end_all() {
    for pid in STARTED
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .iter()
    {
        let _ = signal(*pid, "KILL");
    }
}

fn shown_answer(answer: &io::Result<Answer>) -> String {
    match answer {
        Ok(Answer { status, body }) => format!("{status} {body}"),
        Err(error) => format!("none ({error})"),
    }
}

/// The second byte of loopback addresses whose ports are free.
fn free_net() -> io::Result<u8> {
    let first = std::process::id() % 200;
    for offset in 0..200 {
        let net = 20 + ((first + offset) % 200) as u8;
        let ports = [
            CONTROL_PORT,
            FRONTEND_PORT,
            READINESS_PORT,
            7660,
            7661,
            7662,
            7663,
        ];
        let is_free = |class| {
            ports.iter().all(|port| {
                (1..=CORE).all(|number| {
                    let ip = Ipv4Addr::new(127, net, class, number);
                    TcpListener::bind(SocketAddr::from((ip, *port))).is_ok()
                })
            })
        };
        if is_free(61) && is_free(62) {
            return Ok(net);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// The path of a record, made absolute.
pub fn absolute(path: &str) -> io::Result<PathBuf> {
    Ok(std::env::current_dir()?.join(Path::new(path)))
}
