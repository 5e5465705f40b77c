//! A small deployment of the project's own processes on loopback: three core machines, and edge machines with a proxy and
//! an agent each, started with the commands of the deploy file and settings like those of DEPLOY.md.
use crate::{http, record::Record};
use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// The processes that were started, for the watchdog.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// A case takes 120 s at most.
const WATCHDOG: Duration = Duration::from_secs(112);

const CORES: usize = 3;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// One process of the deployment.
pub struct Process {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

pub struct Cluster {
    folder: PathBuf,
    base_port: u16,
    edges: usize,
    pub processes: Vec<Process>,
    record: Record,
    platform: SocketAddr,
}

fn core_ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 91, number as u8 + 1)
}

fn edge_ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 92, number as u8 + 1)
}

impl Cluster {
    /// Starts all processes. `platform` is the address of the stand-in for the platform.
    pub fn start(edges: usize, platform: SocketAddr, record: Record) -> std::io::Result<Cluster> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        watch(folder.clone());
        let base_port = free_ports(edges)?;
        let mut cluster = Cluster {
            folder,
            base_port,
            edges,
            processes: Vec::new(),
            record,
            platform,
        };
        for number in 0..CORES {
            cluster.add(&format!("core-{number}"), "coordinator", core_ip(number), number)?;
        }
        for number in 0..edges {
            cluster.add(&format!("edge-{number}"), "agent", edge_ip(number), number)?;
            cluster.add(&format!("edge-{number}"), "proxy", edge_ip(number), number)?;
        }
        for number in 0..cluster.processes.len() {
            cluster.spawn(number)?;
        }
        Ok(cluster)
    }

    /// Only the first start of the whole system has `bootstrap` set. Called once all processes have read their settings.
    pub fn end_bootstrap(&self) -> std::io::Result<()> {
        for number in 0..CORES {
            let settings = self.settings(&format!("core-{number}"), "coordinator", core_ip(number), number, false);
            fs::write(&self.processes[number].settings, settings)?;
        }
        Ok(())
    }

    fn add(&mut self, machine: &str, role: &'static str, ip: Ipv4Addr, number: usize) -> std::io::Result<()> {
        let settings = self.folder.join(format!("{machine}-{role}.toml"));
        fs::write(&settings, self.settings(machine, role, ip, number, true))?;
        self.processes.push(Process {
            name: format!("{machine} {role}"),
            role,
            settings,
            child: None,
        });
        Ok(())
    }

    fn settings(&self, machine: &str, role: &str, ip: Ipv4Addr, number: usize, bootstrap: bool) -> String {
        let is_core = role == "coordinator";
        let seeds: Vec<String> = (0..CORES).map(|core| format!("\"{}\"", self.control_plane(core))).collect();
        let listen = match role {
            "coordinator" => format!("controlPlane = \"{}:{}\"\n", ip, self.base_port + 20),
            "proxy" => format!("frontend = \"{}:{}\"\nreadiness = \"{}:{}\"\n", ip, self.base_port + 21, ip, self.base_port + 22),
            _ => String::new(),
        };
        let data = self.folder.join(format!("data-{machine}"));
        let data_dir = if is_core { format!("dataDir = {:?}\n", data.display().to_string()) } else { String::new() };
        let (class, share, memory) = if is_core { ("core", 0.5, 256) } else { ("edge", 0.25, 260) };
        format!(
            "nodeName = \"{machine}\"\nrole = \"{role}\"\nmachineClass = \"{class}\"\nserves = []\nip = \"{ip}\"\n\
             zone = \"{}\"\nregion = \"region\"\ninternalPortRange = [{},{}]\nseeds = [{}]\nbootstrap = {bootstrap}\n\
             countsForQuorum = {is_core}\ndiscovery = \"cloud_api\"\nentryMode = \"vip\"\nheartbeatMs = 1400\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"]\ncommands = \"invocation\"\n{data_dir}\
             [zones]\nzone-a = \"region\"\nzone-b = \"region\"\nzone-c = \"region\"\n[listen]\n{listen}\
             [limits]\ncpuShare = {share}\ncores = 1\nmemoryMb = {memory}\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 128\n\
             [faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseDelayS = 2\ncontactMs = 3000\nackTimeoutMs = 4000\ncatchUpS = 4\ndrainMs = 3000\n\
             graceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nmaxStretchMs = 5000\nrecoveryS = 12\n\
             maxHoldMs = 6000\nstop_ms = 400\ngang_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n\
             finish_s = 14\nstatus_s = 120\nfar_x = 3\nsave_s = 1\nrestore_ms = 600\n\
             [cloud]\naddress = \"{}\"\nratePerS = 30.0\nduties = []\nmaxLagMs = 800\n",
            ZONES[number % ZONES.len()],
            self.base_port,
            self.base_port + 15,
            seeds.join(","),
            self.platform,
        )
    }

    pub fn control_plane(&self, core: usize) -> SocketAddr {
        SocketAddr::new(core_ip(core).into(), self.base_port + 20)
    }

    pub fn frontend(&self, edge: usize) -> SocketAddr {
        SocketAddr::new(edge_ip(edge).into(), self.base_port + 21)
    }

    pub fn readiness(&self, edge: usize) -> SocketAddr {
        SocketAddr::new(edge_ip(edge).into(), self.base_port + 22)
    }

    /// The number of a process by its machine and role.
    pub fn process(&self, name: &str) -> usize {
        self.processes.iter().position(|process| process.name == name).unwrap_or(usize::MAX)
    }

    /// Starts a process with the settings file of that time.
    pub fn spawn(&mut self, number: usize) -> std::io::Result<()> {
        let process = &mut self.processes[number];
        let log = self.folder.join(format!("{}.log", process.name.replace(' ', "-")));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new("target/system/magpiegap")
            .arg(process.role)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("HOME", &self.folder)
            .env("LANG", "C")
            .env("MAGPIEGAP_BOOT", &process.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(format!("started {}", process.name));
        STARTED.lock().unwrap_or_else(PoisonError::into_inner).push(child.id());
        process.child = Some(child);
        Ok(())
    }

    /// Sends a signal (`STOP`, `CONT`, `TERM`, `KILL`) to a process.
    pub fn signal(&self, number: usize, signal: &str) {
        let process = &self.processes[number];
        if let Some(child) = &process.child {
            self.record.line(format!("signal {signal} to {}", process.name));
            let _ = Command::new("sh").arg("-c").arg(format!("kill -{signal} {}", child.id())).status();
        }
    }

    /// Waits until each proxy calls itself ready.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        let is_ready = |edge| {
            let second = Duration::from_secs(1);
            let answer = http::call(self.readiness(edge), "GET", "/-/ready", &[], b"", second);
            answer.is_ok_and(|answer| answer.status == 200)
        };
        while Instant::now() < until {
            if (0..self.edges).all(is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a configuration, to one coordinator after the other, until it is acknowledged.
    pub fn configure(&self, base: u64, body: &str, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        let base = base.to_string();
        let mut core = 0;
        while Instant::now() < until {
            let to = self.control_plane(core % CORES);
            core += 1;
            let headers = [("Base-Version", base.as_str())];
            let second = Duration::from_secs(1);
            let answer = http::call(to, "POST", "/-/Config.Replace", &headers, body.as_bytes(), second);
            let status = answer.map(|answer| answer.status);
            self.record.line(format!("operator: Config.Replace at {to}: {status:?}"));
            if status == Ok(200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(150));
        }
        false
    }

}

impl Drop for Cluster {
    /// Ends all processes that were started, and removes the folder.
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(child) = &mut process.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Ends everything when a case takes too long.
fn watch(folder: PathBuf) {
    std::thread::spawn(move || {
        std::thread::sleep(WATCHDOG);
        for process in STARTED.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            let _ = Command::new("sh").arg("-c").arg(format!("kill -KILL {process}")).status();
        }
        let _ = fs::remove_dir_all(folder);
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

/// The first of a range of ports that are free on all addresses.
fn free_ports(edges: usize) -> std::io::Result<u16> {
    let ips: Vec<Ipv4Addr> = (0..CORES).map(core_ip).chain((0..edges).map(edge_ip)).collect();
    let first = 15_000 + (std::process::id() % 300) as u16 * 40;
    for base in (first..first + 4000).step_by(40) {
        let is_free = |port: u16| ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok());
        if (base..base + 24).all(is_free) {
            return Ok(base);
        }
    }
    Err(std::io::ErrorKind::AddrInUse.into())
}
