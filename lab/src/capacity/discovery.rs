//! Emulated discovery for the balancers of a trial: one list and an agent per balancer, with traffic counters.
use super::http::{self, Message};
use crate::error::BindError;
use crate::net::{lock, Block};
use serde_json::{json, Value};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{timeout, Instant};

/// Maximum wait of a long poll, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// Traffic between a balancer and its agent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Traffic {
    pub calls: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

/// The list of upstreams, shared by all balancers.
pub(super) struct Discovery {
    /// The entry of each upstream in its initial state.
    entries: Vec<Value>,
    /// The upstream that each version changed, and when. Version 1 is the initial list and has no entry.
    changes: Mutex<Vec<(usize, Instant)>>,
    version: watch::Sender<u64>,
    balancers: Mutex<Vec<Subscriber>>,
}

/// State of one balancer.
struct Subscriber {
    traffic: Traffic,
    /// Latest version that it has named in a call, and therefore applied.
    version: u64,
    /// Times from each change to the call that shows that it was applied, in milliseconds.
    lags: Vec<f64>,
}

impl Discovery {
    /// Lists the first upstreams of the address block, all active, and starts an agent for each balancer.
    pub(super) async fn start(
        block: &Block,
        upstreams: usize,
        balancers: usize,
    ) -> Result<Arc<Discovery>, BindError> {
        let entries = (0..upstreams).map(|number| entry(block, number)).collect();
        let subscribers = (0..balancers).map(|_| Subscriber {
            traffic: Traffic::default(),
            version: 0,
            lags: Vec::new(),
        });
        let discovery = Arc::new(Discovery {
            entries,
            changes: Mutex::default(),
            version: watch::channel(1).0,
            balancers: Mutex::new(subscribers.collect()),
        });
        for balancer in 0..balancers {
            let at = block.agent(balancer, 0);
            let listener = TcpListener::bind(at).await.map_err(BindError::at(at))?;
            tokio::spawn(discovery.clone().accept(listener, balancer));
        }
        Ok(discovery)
    }

    /// Toggles the state of the next upstream between active and leaving.
    pub(super) fn change(&self) {
        let mut changes = lock(&self.changes);
        let upstream = changes.len() % self.entries.len().max(1);
        changes.push((upstream, Instant::now()));
        self.version.send_replace(1 + changes.len() as u64);
    }

    /// Returns the traffic between a balancer and its agent so far.
    pub(super) fn traffic(&self, balancer: usize) -> Traffic {
        lock(&self.balancers)[balancer].traffic
    }

    /// Returns the number of changes not yet applied, summed over all balancers.
    pub(super) fn outstanding(&self) -> usize {
        let changes = lock(&self.changes).len();
        lock(&self.balancers)
            .iter()
            .map(|balancer| changes - balancer.lags.len())
            .sum()
    }

    /// Returns the time until each balancer applied each change, and, for each change that all have applied, the time
    /// until the last one did.
    pub(super) fn lags(&self) -> (Vec<f64>, Vec<f64>) {
        let balancers = lock(&self.balancers);
        let each = balancers
            .iter()
            .flat_map(|b| b.lags.iter().copied())
            .collect();
        let complete = balancers.iter().map(|b| b.lags.len()).min().unwrap_or(0);
        let last = (0..complete)
            .map(|change| balancers.iter().map(|b| b.lags[change]).fold(0.0, f64::max))
            .collect();
        (each, last)
    }

    async fn accept(self: Arc<Self>, listener: TcpListener, balancer: usize) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().serve(stream, balancer));
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, balancer: usize) {
        let mut stream = BufReader::new(stream);
        while let Some(call) = http::read(&mut stream).await {
            self.record_call(balancer, &call);
            let response = self.respond(&call).await;
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
            lock(&self.balancers)[balancer].traffic.bytes_out += response.len() as u64;
        }
    }

    /// Records a call. The version that it names shows that all changes up to it were applied.
    fn record_call(&self, balancer: usize, call: &Message) {
        let now = Instant::now();
        let changes = lock(&self.changes);
        let mut all = lock(&self.balancers);
        let subscriber = &mut all[balancer];
        subscriber.traffic.calls += 1;
        subscriber.traffic.bytes_in += call.bytes as u64;
        let since = call.query("since").unwrap_or(0);
        let known = subscriber.version.max(1) as usize - 1;
        let applied = changes
            .iter()
            .take(since.saturating_sub(1) as usize)
            .skip(known);
        subscriber
            .lags
            .extend(applied.map(|(_, at)| now.duration_since(*at).as_secs_f64() * 1000.0));
        subscriber.version = subscriber.version.max(since);
    }

    async fn respond(&self, call: &Message) -> String {
        let since = call.query("since");
        if let Some(since) = since {
            let wait = call.query("timeout_ms").unwrap_or(0).min(MAX_WAIT_MS);
            let mut version = self.version.subscribe();
            // If nothing changes before the timeout, the response is an empty list of changes.
            let _ = timeout(
                Duration::from_millis(wait),
                version.wait_for(|now| *now > since),
            )
            .await;
        }
        let changes = lock(&self.changes);
        let change_count = |upstream: usize| {
            changes
                .iter()
                .filter(|(changed, _)| *changed == upstream)
                .count()
        };
        let upstreams: Vec<usize> = match since {
            None => (0..self.entries.len()).collect(),
            Some(since) => {
                let mut changed: Vec<usize> = changes
                    .iter()
                    .skip(since.saturating_sub(1) as usize)
                    .map(|(upstream, _)| *upstream)
                    .collect();
                changed.sort_unstable();
                changed.dedup();
                changed
            }
        };
        let servers: Vec<Value> = upstreams
            .into_iter()
            .map(|upstream| {
                let mut entry = self.entries[upstream].clone();
                if change_count(upstream) % 2 == 1 {
                    entry["state"] = json!("leaving");
                }
                entry
            })
            .collect();
        let listing =
            json!({"version": 1 + changes.len(), "full": since.is_none(), "servers": servers});
        http::response("200 OK", &listing.to_string())
    }
}

/// Returns the address of an upstream, which is the same for all balancers.
pub(super) fn upstream_at(block: &Block, number: usize) -> std::net::SocketAddr {
    block.upstream(number, 0)
}

fn entry(block: &Block, number: usize) -> Value {
    json!({
        "id": format!("worker-{number:04}"),
        "addr": upstream_at(block, number).to_string(),
        "zone": ZONES[number % ZONES.len()],
        "kind": "worker",
        "cell": number % 64,
        "state": "active",
        "weight": 1.0,
        "started_ms": 0.0
    })
}

/// The zones of the target deployment.
pub(super) const ZONES: [&str; 6] = ["a1", "a2", "a3", "b1", "b2", "b3"];
