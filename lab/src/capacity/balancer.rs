//! A balancer under measurement: its configuration, process and resource usage. Owns the process.
use super::accounting::Usage;
use super::discovery::ZONES;
use super::error::CapacityError;
use super::scenario::Scenario;
use crate::error::FileError;
use crate::net::Block;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{timeout, Instant};

/// File descriptor limit of a balancer.
const MAX_DESCRIPTORS: usize = 20_000;
/// Deadline and latency objective of the class, in milliseconds: longer than any trial, so that calls can stay in
/// flight.
const DEADLINE_MS: u64 = 600_000;
/// Quota of all tenants together, in requests per second: far above the rate of any trial, so that no request is
/// refused.
const QUOTA_PER_S: f64 = 20_000.0;
/// How long a balancer may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running balancer.
pub(super) struct Balancer {
    /// The address for client connections.
    pub listen: SocketAddr,
    child: Child,
}

/// Addresses and files of a balancer.
pub(super) struct Location<'a> {
    pub block: &'a Block,
    pub folder: &'a Path,
    pub program: &'a Path,
    pub number: usize,
}

impl Balancer {
    /// Starts a balancer and waits until it is ready.
    pub(super) async fn start(
        location: &Location<'_>,
        scenario: &Scenario,
    ) -> Result<Balancer, CapacityError> {
        let file = |kind: &str| {
            location
                .folder
                .join(format!("balancer-{}.{kind}", location.number))
        };
        let write =
            |path: &PathBuf, text: String| std::fs::write(path, text).map_err(FileError::at(path));
        let (config, options) = (file("json"), file("toml"));
        write(&config, configuration(location, scenario).to_string())?;
        let state = file("state");
        // The state folder must exist before the balancer starts.
        std::fs::create_dir_all(&state).map_err(FileError::at(&state))?;
        write(&options, options_text(scenario, &state))?;
        let log = std::fs::File::create(file("log"))?;
        let child = Command::new(location.program)
            .args(["run", "--options"])
            .arg(&options)
            .env("NODE_CONFIG", &config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .kill_on_drop(true)
            .spawn()
            .map_err(FileError::at(location.program))?;
        let balancer = Balancer {
            listen: location.block.balancer(location.number),
            child,
        };
        let end = Instant::now() + READY_TIMEOUT;
        while !balancer.is_ready().await {
            if Instant::now() > end {
                return Err(CapacityError::NotReady {
                    number: location.number,
                    within: READY_TIMEOUT,
                });
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Ok(balancer)
    }

    /// Returns its resource usage so far.
    pub(super) fn usage(&self) -> Result<Usage, CapacityError> {
        let pid = self.child.id().ok_or(CapacityError::Ended)?;
        Usage::of(pid).map_err(|source| CapacityError::Accounting { pid, source })
    }

    /// Kills it and waits for its exit.
    pub(super) async fn stop(mut self) -> Result<(), CapacityError> {
        Ok(self.child.kill().await?)
    }

    async fn is_ready(&self) -> bool {
        let check = async {
            let mut stream = TcpStream::connect(self.listen).await.ok()?;
            let request =
                "GET /-/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n";
            stream.write_all(request.as_bytes()).await.ok()?;
            let mut status_line = [0; 12];
            stream.read_exact(&mut status_line).await.ok()?;
            (&status_line == b"HTTP/1.1 200").then_some(())
        };
        timeout(READY_TIMEOUT, check)
            .await
            .is_ok_and(|ready| ready.is_some())
    }
}

fn options_text(scenario: &Scenario, state: &Path) -> String {
    let mut text = String::from("version = 1\n");
    if scenario.members.is_some() {
        text.push_str("[peers]\non = true\n");
    }
    if scenario.persisted {
        text.push_str(&format!(
            "[recovery]\ndir = {:?}\n",
            state.display().to_string()
        ));
    }
    text
}

fn configuration(location: &Location<'_>, scenario: &Scenario) -> Value {
    let (block, number) = (location.block, location.number);
    let members = scenario.members.unwrap_or(scenario.balancers);
    let share = 1.0 / scenario.tenants as f64;
    let quota = QUOTA_PER_S * share;
    let tenants: Vec<Value> = (0..scenario.tenants)
        .map(|tenant| json!({"name": format!("team-{tenant}"), "share": share, "quota_per_s": quota}))
        .collect();
    let peers: Vec<String> = (0..members)
        .map(|member| block.peer(member).to_string())
        .collect();
    json!({
        "name": format!("balancer-{number}"),
        "listen": block.balancer(number).to_string(),
        "discovery": block.agent(number, 0).to_string(),
        "seed": format!("{:016x}", number + 1),
        "limits": {"cores": 1.0, "memory_mb": 256, "sockets": MAX_DESCRIPTORS},
        "peer_listen": block.peer(number).to_string(),
        "peers": peers,
        "known": Value::Null,
        "settings": {
            "balancers": members,
            "index": number,
            "stage": 0,
            "zone": number % ZONES.len(),
            "dcs": ZONES,
            "kinds": ["worker"],
            "classes": [{"name": "task", "objective": DEADLINE_MS, "deadline": DEADLINE_MS, "effect": "free"}],
            "tenants": tenants,
            "membership_mode": "pushed",
            "permissions": {"attempts_cap": 3, "cancel": true, "peers": true, "max_open": 20_000,
                "idle_close": 60_000.0, "dial_timeout": 1000.0},
            "invariants": {"ask_within": 10_000.0, "cold_from": 1.0, "ramp_time": 0.0, "tip_multiple": 3.0}
        }
    })
}
