//! Discovery as the balancers of a trial see it: one list, an agent for each balancer, every byte counted.
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

/// The longest wait of a watch.
const WAIT_MOST: u64 = 60_000;

/// What a balancer and its agent said to each other.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Traffic {
    pub calls: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

/// One list for all balancers.
pub(super) struct Discovery {
    /// Each upstream as discovery words it.
    lines: Vec<Value>,
    /// What each version changed and when; version 1, the list as it was, has no entry.
    changes: Mutex<Vec<(usize, Instant)>>,
    version: watch::Sender<u64>,
    heard: Mutex<Vec<Heard>>,
}

/// What is known of one balancer.
struct Heard {
    traffic: Traffic,
    /// The latest version that it has asked from, and so has taken in.
    version: u64,
    /// Times from a change to the call that shows that it was taken in, in milliseconds.
    lags: Vec<f64>,
}

impl Discovery {
    /// Lists upstreams at these places of the block, all active, and listens for so many balancers.
    pub(super) async fn start(
        block: &Block,
        upstreams: usize,
        balancers: usize,
    ) -> Result<Arc<Discovery>, BindError> {
        let lines = (0..upstreams).map(|number| line(block, number)).collect();
        let heard = (0..balancers).map(|_| Heard {
            traffic: Traffic::default(),
            version: 0,
            lags: Vec::new(),
        });
        let discovery = Arc::new(Discovery {
            lines,
            changes: Mutex::default(),
            version: watch::channel(1).0,
            heard: Mutex::new(heard.collect()),
        });
        for balancer in 0..balancers {
            let at = block.agent(balancer, 0);
            let listener = TcpListener::bind(at).await.map_err(BindError::at(at))?;
            tokio::spawn(discovery.clone().accept(listener, balancer));
        }
        Ok(discovery)
    }

    /// Turns one upstream's state, in turn: active to leaving and back.
    pub(super) fn change(&self) {
        let mut changes = lock(&self.changes);
        let upstream = changes.len() % self.lines.len().max(1);
        changes.push((upstream, Instant::now()));
        self.version.send_replace(1 + changes.len() as u64);
    }

    /// What one balancer and its agent have said so far.
    pub(super) fn traffic(&self, balancer: usize) -> Traffic {
        lock(&self.heard)[balancer].traffic
    }

    /// Changes that some balancer has not taken in, over all balancers.
    pub(super) fn outstanding(&self) -> usize {
        let changes = lock(&self.changes).len();
        lock(&self.heard)
            .iter()
            .map(|heard| changes - heard.lags.len())
            .sum()
    }

    /// Times until each balancer had taken in each change; and, for each change that all have, until the last had.
    pub(super) fn lags(&self) -> (Vec<f64>, Vec<f64>) {
        let heard = lock(&self.heard);
        let each = heard.iter().flat_map(|h| h.lags.iter().copied()).collect();
        let complete = heard.iter().map(|h| h.lags.len()).min().unwrap_or(0);
        let last = (0..complete)
            .map(|change| heard.iter().map(|h| h.lags[change]).fold(0.0, f64::max))
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
            self.note_call(balancer, &call);
            let answer = self.answer(&call).await;
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            lock(&self.heard)[balancer].traffic.bytes_out += answer.len() as u64;
        }
    }

    /// A call from a version shows that all up to it were taken in.
    fn note_call(&self, balancer: usize, call: &Message) {
        let now = Instant::now();
        let changes = lock(&self.changes);
        let mut all = lock(&self.heard);
        let heard = &mut all[balancer];
        heard.traffic.calls += 1;
        heard.traffic.bytes_in += call.bytes as u64;
        let since = call.query("since").unwrap_or(0);
        let known = heard.version.max(1) as usize - 1;
        let taken_in = changes
            .iter()
            .take(since.saturating_sub(1) as usize)
            .skip(known);
        heard
            .lags
            .extend(taken_in.map(|(_, at)| now.duration_since(*at).as_secs_f64() * 1000.0));
        heard.version = heard.version.max(since);
    }

    async fn answer(&self, call: &Message) -> String {
        let since = call.query("since");
        if let Some(since) = since {
            let wait = call.query("timeout_ms").unwrap_or(0).min(WAIT_MOST);
            let mut version = self.version.subscribe();
            // Nothing new in its time is an answer too.
            let _ = timeout(
                Duration::from_millis(wait),
                version.wait_for(|now| *now > since),
            )
            .await;
        }
        let changes = lock(&self.changes);
        let states = |upstream: usize| {
            changes
                .iter()
                .filter(|(changed, _)| *changed == upstream)
                .count()
        };
        let upstreams: Vec<usize> = match since {
            None => (0..self.lines.len()).collect(),
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
                let mut line = self.lines[upstream].clone();
                if states(upstream) % 2 == 1 {
                    line["state"] = json!("leaving");
                }
                line
            })
            .collect();
        let listing =
            json!({"version": 1 + changes.len(), "full": since.is_none(), "servers": servers});
        http::answer("200 OK", &listing.to_string())
    }
}

/// Where upstreams of every balancer listen: they are the same for all.
pub(super) fn upstream_at(block: &Block, number: usize) -> std::net::SocketAddr {
    block.upstream(number, 0)
}

fn line(block: &Block, number: usize) -> Value {
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

/// The target's zones.
pub(super) const ZONES: [&str; 6] = ["a1", "a2", "a3", "b1", "b2", "b3"];
