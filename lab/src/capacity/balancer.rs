//! One balancer under measurement: its configuration, its process, its usage. Owns the process.
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

/// Descriptors that a balancer may hold.
const DESCRIPTORS: usize = 20_000;
/// The class's deadline and objective: calls are held for longer than any trial lasts.
const DEADLINE_MS: u64 = 600_000;
/// Starts a second that all tenants may ask for: far above what any trial does, so that nothing is refused by it.
const QUOTA: f64 = 20_000.0;
/// How long a balancer may take until it is ready, and the pause between two questions.
const READY_WITHIN: Duration = Duration::from_secs(10);
const READY_PAUSE: Duration = Duration::from_millis(20);

/// One balancer.
pub(super) struct Balancer {
    /// Where its clients connect.
    pub listen: SocketAddr,
    child: Child,
}

/// Where things are.
pub(super) struct Place<'a> {
    pub block: &'a Block,
    pub folder: &'a Path,
    pub program: &'a Path,
    pub number: usize,
}

impl Balancer {
    /// Starts it and waits until it is ready.
    pub(super) async fn start(
        place: &Place<'_>,
        scenario: &Scenario,
    ) -> Result<Balancer, CapacityError> {
        let file = |kind: &str| {
            place
                .folder
                .join(format!("balancer-{}.{kind}", place.number))
        };
        let write =
            |path: &PathBuf, text: String| std::fs::write(path, text).map_err(FileError::at(path));
        let (config, options) = (file("json"), file("toml"));
        write(&config, configuration(place, scenario).to_string())?;
        let state = file("state");
        // What is kept has a folder that is there before the balancer is.
        std::fs::create_dir_all(&state).map_err(FileError::at(&state))?;
        write(&options, options_text(scenario, &state))?;
        let log = std::fs::File::create(file("log"))?;
        let child = Command::new(place.program)
            .args(["run", "--options"])
            .arg(&options)
            .env("NODE_CONFIG", &config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .kill_on_drop(true)
            .spawn()
            .map_err(FileError::at(place.program))?;
        let balancer = Balancer {
            listen: place.block.balancer(place.number),
            child,
        };
        let end = Instant::now() + READY_WITHIN;
        while !balancer.is_ready().await {
            if Instant::now() > end {
                return Err(CapacityError::NotReady {
                    number: place.number,
                    within: READY_WITHIN,
                });
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
        Ok(balancer)
    }

    /// What it has used so far.
    pub(super) fn usage(&self) -> Result<Usage, CapacityError> {
        let pid = self.child.id().ok_or(CapacityError::Ended)?;
        Usage::of(pid).map_err(|source| CapacityError::Accounting { pid, source })
    }

    /// Ends it and waits for that.
    pub(super) async fn stop(mut self) -> Result<(), CapacityError> {
        Ok(self.child.kill().await?)
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
        timeout(READY_WITHIN, ask)
            .await
            .is_ok_and(|answer| answer.is_some())
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

fn configuration(place: &Place<'_>, scenario: &Scenario) -> Value {
    let (block, number) = (place.block, place.number);
    let members = scenario.members.unwrap_or(scenario.balancers);
    let share = 1.0 / scenario.tenants as f64;
    let quota = QUOTA * share;
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
        "limits": {"cores": 1.0, "memory_mb": 256, "sockets": DESCRIPTORS},
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
