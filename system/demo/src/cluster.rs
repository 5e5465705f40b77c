//! Starts, kills and restarts the scheduler's processes, and writes their settings files.
use crate::{
    error::DemoError,
    options::Options,
    usage::{self, Usage},
    worker_server::MAX_LEASE_MS,
};
use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::Stdio,
};
use tokio::process::{Child, Command};

/// Network of the coordinators; the last byte of an address is the coordinator's number.
const COORDINATOR_NETWORK: [u8; 3] = [127, 0, 61];
/// Network of the machines with a proxy and an agent; the last byte of an address is the machine's number.
const EDGE_NETWORK: [u8; 3] = [127, 0, 62];
/// Port of the coordinators' control interface.
const CONTROL_PORT: u16 = 18_146;
/// Port of the proxies' client interface.
const CLIENT_PORT: u16 = 18_144;
/// Port of the proxies' readiness check.
const READINESS_PORT: u16 = 18_140;
/// First port of the internal range. All machines use the same range, since each has its own address.
const FIRST_INTERNAL_PORT: u16 = 17_660;
/// Last port of the internal range.
const LAST_INTERNAL_PORT: u16 = FIRST_INTERNAL_PORT + 15;
/// Maximum number of coordinators listed as seeds.
const MAX_SEEDS: u8 = 3;

/// One process of the cluster.
pub(crate) struct Process {
    /// Role and number, such as `coordinator-1`.
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
    /// Starts all processes.
    ///
    /// # Errors
    /// If a file cannot be written or a process cannot be started.
    pub(crate) fn start(
        options: &Options,
        folder: &Path,
        platform: SocketAddr,
    ) -> Result<Cluster, DemoError> {
        let program = std::env::current_exe()
            .map_err(DemoError::system("finding the path of this executable"))?;
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
            .map_err(DemoError::system(format!("starting the {role} process")))
    }

    fn settings_text(&self, name: &str, role: &str, number: u8) -> String {
        let network = match role {
            "coordinator" => COORDINATOR_NETWORK,
            _ => EDGE_NETWORK,
        };
        let ip = ip_address(network, number);
        let seeds: Vec<String> = (1..=self.coordinators.min(MAX_SEEDS))
            .map(|number| format!("\"{}\"", control_address(number)))
            .collect();
        let listen = match role {
            "coordinator" => format!("controlPlane = \"{ip}:{CONTROL_PORT}\""),
            _ => {
                format!("frontend = \"{ip}:{CLIENT_PORT}\"\nreadiness = \"{ip}:{READINESS_PORT}\"")
            }
        };
        let data = self.data_folder(name);
        let tolerance = (self.coordinators.max(1) - 1) / 2;
        format!(
            "nodeName = \"{name}\"\nrole = \"{role}\"\nip = \"{ip}\"\nzone = \"a\"\n\
             internalPortRange = [{FIRST_INTERNAL_PORT}, {LAST_INTERNAL_PORT}]\nseeds = [{}]\nbootstrap = true\ndataDir = \"{}\"\n\
             commands = \"invocation\"\n[listen]\n{listen}\n[faultTolerance]\nmachines = {tolerance}\n\
             [bounds]\nmaxHoldMs = {MAX_LEASE_MS}\n[cloud]\naddress = \"{}\"\nratePerS = 30.0\n",
            seeds.join(", "),
            data.display(),
            self.platform,
        )
    }

    /// Kills a process without a graceful shutdown.
    ///
    /// # Errors
    /// If there is no process with this name, or the system call fails.
    pub(crate) async fn kill(&mut self, name: &str) -> Result<(), DemoError> {
        self.find(name)?
            .child
            .kill()
            .await
            .map_err(DemoError::system(format!("killing {name}")))
    }

    /// Restarts a process that has ended.
    ///
    /// # Errors
    /// If there is no process with this name, or the system call fails.
    pub(crate) fn restart(&mut self, name: &str) -> Result<(), DemoError> {
        let process = self.find(name)?;
        let role = process.role;
        let settings = process.settings.clone();
        let log = process.log.clone();
        let child = self.spawn(role, &settings, &log)?;
        self.find(name)?.child = child;
        Ok(())
    }

    /// Backs up the data folder of a process that has ended.
    ///
    /// # Errors
    /// If a file cannot be copied.
    pub(crate) fn back_up_data(&self, name: &str) -> Result<(), DemoError> {
        copy_files(&self.data_folder(name), &self.backup_folder(name))
    }

    /// Restores the data folder of a process that has ended from the backup.
    ///
    /// # Errors
    /// If a file cannot be copied or removed.
    pub(crate) fn restore_data(&self, name: &str) -> Result<(), DemoError> {
        let data = self.data_folder(name);
        std::fs::remove_dir_all(&data).map_err(DemoError::system(data.display().to_string()))?;
        copy_files(&self.backup_folder(name), &data)
    }

    fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}-data"))
    }

    fn backup_folder(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}-copy"))
    }

    fn find(&mut self, name: &str) -> Result<&mut Process, DemoError> {
        let found = self
            .processes
            .iter_mut()
            .find(|process| process.name == name);
        found.ok_or_else(|| DemoError::UnknownProcess(name.to_owned()))
    }
}

impl Process {
    /// Resource usage since the last start; zero if the system does not report it.
    pub(crate) fn usage(&self) -> Usage {
        self.child
            .id()
            .and_then(usage::read_process)
            .unwrap_or_default()
    }
}

/// Copies the files of a folder to another folder, which is created if it does not exist.
fn copy_files(from: &Path, to: &Path) -> Result<(), DemoError> {
    let io_error = |folder: &Path| DemoError::system(folder.display().to_string());
    std::fs::create_dir_all(to).map_err(io_error(to))?;
    for file in std::fs::read_dir(from).map_err(io_error(from))? {
        let file = file.map_err(io_error(from))?;
        std::fs::copy(file.path(), to.join(file.file_name())).map_err(io_error(to))?;
    }
    Ok(())
}

/// Address of a coordinator's control interface.
pub(crate) fn control_address(number: u8) -> SocketAddr {
    SocketAddr::from((ip_address(COORDINATOR_NETWORK, number), CONTROL_PORT))
}

/// Address of a proxy's client interface.
pub(crate) fn client_address(number: u8) -> SocketAddr {
    SocketAddr::from((ip_address(EDGE_NETWORK, number), CLIENT_PORT))
}

/// Address of a proxy's readiness check.
pub(crate) fn readiness_address(number: u8) -> SocketAddr {
    SocketAddr::from((ip_address(EDGE_NETWORK, number), READINESS_PORT))
}

fn ip_address([first, second, third]: [u8; 3], number: u8) -> Ipv4Addr {
    Ipv4Addr::new(first, second, third, number)
}
