//! Follows discovery and chooses upstreams. Owns the stand-in's list of upstreams.
use super::config::{Listing, Server};
use super::connect::connect;
use super::misbehavior::{Misbehavior, Policy};
use crate::net::lock;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::timeout;

/// The query parameter with the longest time that discovery may hold a long poll.
const POLL_TIMEOUT: &str = "timeout_ms=5000";
/// How long a stand-in waits for the response to a long poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);
/// The pause after a failed long poll.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The maximum size of a discovery response, in bytes.
const MAX_LISTING_BYTES: usize = 4 << 20;

/// The upstreams that a stand-in knows, and how it chooses among them.
pub(super) struct Upstreams {
    policy: Policy,
    misbehavior: Option<Misbehavior>,
    by_id: Mutex<HashMap<String, Server>>,
    /// The list at the start; [`Misbehavior::IgnoreUpdates`] uses only this.
    first: Vec<Server>,
    next: AtomicUsize,
    rng: Mutex<Pcg64Mcg>,
}

impl Upstreams {
    pub(super) fn new(
        policy: Policy,
        misbehavior: Option<Misbehavior>,
        seed: u64,
        known: &Listing,
    ) -> Upstreams {
        let by_id = |server: &Server| (server.id.clone(), server.clone());
        Upstreams {
            policy,
            misbehavior,
            by_id: Mutex::new(known.servers.iter().map(by_id).collect()),
            first: known.servers.clone(),
            next: AtomicUsize::new(0),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
        }
    }

    /// Follows discovery by long polls, starting after `version`, until dropped.
    pub(super) async fn follow(&self, discovery: SocketAddr, mut version: u64) {
        loop {
            match timeout(RESPONSE_TIMEOUT, poll(discovery, version)).await {
                Ok(Some(update)) if update.version >= version => {
                    version = update.version;
                    self.apply(update);
                }
                _ => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    fn apply(&self, update: Listing) {
        let mut by_id = lock(&self.by_id);
        if update.full {
            by_id.clear();
        }
        let servers = update.servers.into_iter();
        by_id.extend(servers.map(|server| (server.id.clone(), server)));
    }

    /// Chooses the upstream of the next attempt and returns its address; `None` if there is no upstream.
    pub(super) fn choose(&self) -> Option<SocketAddr> {
        let server = match self.misbehavior {
            Some(Misbehavior::IgnoreUpdates) => {
                let turn = self.next.fetch_add(1, Ordering::Relaxed);
                return Some(self.first.get(turn % self.first.len().max(1))?.address);
            }
            Some(Misbehavior::SendToNewest) => self.newest(),
            _ => self.by_policy(),
        };
        Some(server?.address)
    }

    fn newest(&self) -> Option<Server> {
        let by_id = lock(&self.by_id);
        let active = by_id.values().filter(|server| server.is_active());
        let newest = active.max_by(|a, b| a.started_ms.total_cmp(&b.started_ms));
        newest.cloned()
    }

    fn by_policy(&self) -> Option<Server> {
        let by_id = lock(&self.by_id);
        let mut active: Vec<&Server> = by_id.values().filter(|s| s.is_active()).collect();
        active.sort_by(|a, b| a.id.cmp(&b.id));
        let turn = match self.policy {
            Policy::Random => lock(&self.rng).gen::<u32>() as usize,
            Policy::RoundRobin => self.next.fetch_add(1, Ordering::Relaxed),
        };
        active
            .get(turn % active.len().max(1))
            .map(|&server| server.clone())
    }
}

/// Requests the changes since a version from discovery.
async fn poll(discovery: SocketAddr, version: u64) -> Option<Listing> {
    let mut sender = connect(discovery).await?;
    let uri = format!("/api/targets?since={version}&{POLL_TIMEOUT}");
    let request = Request::get(uri)
        .header("host", "agent")
        .body(Full::default())
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let body = Limited::new(response.into_body(), MAX_LISTING_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}
