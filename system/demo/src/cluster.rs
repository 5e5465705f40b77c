//! The scheduler's processes: their settings, starts and kills.
use crate::{error::DemoError, options::Options, usage, worker_server::MAX_HOLD_MS};
use std::{
    fs::File,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
};
use tokio::process::{Child, Command};

/// First address of the coordinators; the last number counts up.
const COORDINATORS: [u8; 3] = [127, 0, 61];
/// First address of the machines with a proxy.
const EDGES: [u8; 3] = [127, 0, 62];
/// Where coordinators serve the operator.
const CONTROL_PORT: u16 = 18_146;
/// Where proxies serve clients.
const CLIENT_PORT: u16 = 18_144;
/// Where proxies say whether they are ready.
const READINESS_PORT: u16 = 18_140;
/// First port for the processes among themselves: the same on all machines, each of which has an address of its own.
const INTERNAL_PORTS: u16 = 17_660;

/// One process of the cluster.
pub(crate) struct Process {
    /// Its role and number.
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// The cluster's processes.
pub(crate) struct Cluster {
    folder: PathBuf,
    program: PathBuf,
    platform: SocketAddr,
    coordinators: u8,
    /// All processes.
    pub processes: Vec<Process>,
}

impl Cluster {
    /// Starts all processes for the first time.
    ///
    /// # Errors
    /// When a file can't be written, or a process can't be started.
    pub(crate) fn start(
        options: &Options,
        folder: &Path,
        platform: SocketAddr,
    ) -> Result<Cluster, DemoError> {
        let program =
            std::env::current_exe().map_err(DemoError::system("the program's own file"))?;
        let mut cluster = Cluster {
            folder: folder.to_owned(),
            program,
            platform,
            coordinators: options.coordinators,
            processes: Vec::new(),
        };
        for number in 1..=options.coordinators {
            cluster.add("coordinator", number)?;
        }
        for number in 1..=options.proxies {
            cluster.add("agent", number)?;
            cluster.add("proxy", number)?;
        }
        Ok(cluster)
    }

    fn add(&mut self, role: &'static str, number: u8) -> Result<(), DemoError> {
        let name = format!("{role}-{number}");
        let settings = self.folder.join(format!("{name}.toml"));
        let log = self.folder.join(format!("{name}.log"));
        let text = self.settings_text(&name, role, number);
        std::fs::write(&settings, text)
            .map_err(DemoError::system(settings.display().to_string()))?;
        let child = self.spawn(role, &settings, &log)?;
        self.processes.push(Process {
            name,
            role,
            settings,
            log,
            child,
        });
        Ok(())
    }

    fn spawn(&self, role: &str, settings: &Path, log: &Path) -> Result<Child, DemoError> {
        let file = File::options().create(true).append(true).open(log);
        let file = file.map_err(DemoError::system(log.display().to_string()))?;
        Command::new(&self.program)
            .arg(role)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .kill_on_drop(true)
            .spawn()
            .map_err(DemoError::system(format!("the process {role}")))
    }

    fn settings_text(&self, name: &str, role: &str, number: u8) -> String {
        let [a, b, c] = if role == "coordinator" {
            COORDINATORS
        } else {
            EDGES
        };
        let ip = format!("{a}.{b}.{c}.{number}");
        let seeds: Vec<String> = (1..=self.coordinators.min(3))
            .map(|number| format!("\"{}\"", control_address(number)))
            .collect();
        let listen = match role {
            "coordinator" => format!("controlPlane = \"{ip}:{CONTROL_PORT}\""),
            _ => {
                format!("frontend = \"{ip}:{CLIENT_PORT}\"\nreadiness = \"{ip}:{READINESS_PORT}\"")
            }
        };
        let data = self.folder.join(format!("{name}-data"));
        let tolerance = (self.coordinators.max(1) - 1) / 2;
        format!(
            "nodeName = \"{name}\"\nrole = \"{role}\"\nip = \"{ip}\"\nzone = \"a\"\n\
             internalPortRange = [{INTERNAL_PORTS}, {}]\nseeds = [{}]\nbootstrap = true\ndataDir = \"{}\"\n\
             commands = \"invocation\"\n[listen]\n{listen}\n[faultTolerance]\nmachines = {tolerance}\n\
             [bounds]\nmaxHoldMs = {MAX_HOLD_MS}\n[cloud]\naddress = \"{}\"\nratePerS = 30.0\n",
            INTERNAL_PORTS + 15,
            seeds.join(", "),
            data.display(),
            self.platform,
        )
    }

    /// Kills a process at once.
    ///
    /// # Errors
    /// When there is none of that name, or the system refuses.
    pub(crate) async fn kill(&mut self, name: &str) -> Result<(), DemoError> {
        self.find(name)?
            .child
            .kill()
            .await
            .map_err(DemoError::system(format!("killing {name}")))
    }

    /// Starts a process again that has ended.
    ///
    /// # Errors
    /// When there is none of that name, or the system refuses.
    pub(crate) fn start_again(&mut self, name: &str) -> Result<(), DemoError> {
        let process = self.find(name)?;
        let (role, settings, log) = (process.role, process.settings.clone(), process.log.clone());
        let child = self.spawn(role, &settings, &log)?;
        self.find(name)?.child = child;
        Ok(())
    }

    fn find(&mut self, name: &str) -> Result<&mut Process, DemoError> {
        let found = self
            .processes
            .iter_mut()
            .find(|process| process.name == name);
        found.ok_or_else(|| DemoError::Cluster(format!("there is no process {name}")))
    }
}

impl Process {
    /// What it has used since it was last started.
    pub(crate) fn usage(&self) -> usage::Usage {
        self.child
            .id()
            .and_then(usage::of_process)
            .unwrap_or_default()
    }
}

/// Where a coordinator serves the operator.
pub(crate) fn control_address(number: u8) -> SocketAddr {
    let [a, b, c] = COORDINATORS;
    SocketAddr::from(([a, b, c, number], CONTROL_PORT))
}

/// Where a proxy serves clients.
pub(crate) fn client_address(number: u8) -> SocketAddr {
    let [a, b, c] = EDGES;
    SocketAddr::from(([a, b, c, number], CLIENT_PORT))
}

/// Where a proxy says whether it is ready.
pub(crate) fn readiness_address(number: u8) -> SocketAddr {
    let [a, b, c] = EDGES;
    SocketAddr::from(([a, b, c, number], READINESS_PORT))
}
