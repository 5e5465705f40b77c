//! The counts of a run: the end of every request, and the traffic of each second.
use crate::experiment::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// How a request ended for its client, over all attempts of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// Served.
    Served,
    /// Refused.
    Refused,
    /// Failed, or the response was incomplete.
    Failed,
    /// No response in time.
    #[serde(rename = "silent")]
    TimedOut,
    /// No balancer could be reached.
    Unreached,
    /// The client cancelled the request.
    Left,
}

/// One request, from when it was due to its end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompletedRequest {
    /// When it was due.
    pub at: Millis,
    /// Position of its class in the experiment.
    pub class: usize,
    /// Position of its tenant.
    pub tenant: usize,
    /// Position of its client's zone.
    pub zone: usize,
    /// How it ended.
    pub how: RequestOutcome,
    /// The time from when it was due to the last byte of its response.
    pub took: Millis,
    /// The number of attempts of the client.
    #[serde(rename = "tries")]
    pub client_attempts: u32,
    /// The time that the balancer added to that of the upstreams, if the request was served.
    pub added: Option<Millis>,
}

/// One start of a balancer.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Start {
    /// Position of the balancer.
    pub balancer: usize,
    /// When its process was started.
    pub at: Millis,
    /// When it first served a request.
    pub served: Option<Millis>,
}

/// The traffic of one second.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SecondCounts {
    /// Attempts that reached upstreams of each zone.
    pub attempts: Vec<u64>,
    /// Of these, the first attempts of their request.
    #[serde(default, rename = "firsts")]
    pub first_attempts: u64,
    /// The time that attempts of each tenant spent at upstreams, in milliseconds, counted when they end.
    #[serde(default, rename = "held")]
    pub upstream_time: Vec<f64>,
    /// Attempts from a balancer of another zone.
    #[serde(rename = "crossings")]
    pub cross_zone_attempts: u64,
    /// New connections to upstreams.
    pub connections: u64,
    /// Attempts rejected by a full upstream.
    pub declined: u64,
    /// Health checks.
    pub probes: u64,
    /// Upstreams that are degraded by overload, as last sampled in this second.
    #[serde(rename = "choked")]
    pub degraded_upstreams: u64,
    /// Work done for attempts that were not served, in milliseconds of a core.
    pub wasted: f64,
    /// Work done, in milliseconds of a core.
    pub worked: f64,
}

/// The counts of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Tally {
    /// Every request that has ended.
    #[serde(rename = "done")]
    pub completed: Vec<CompletedRequest>,
    /// Every second of the run.
    pub seconds: Vec<SecondCounts>,
    zones: usize,
    #[serde(default)]
    tenants: usize,
    /// Every start of a balancer.
    pub starts: Vec<Start>,
    /// The starts of balancers that have not served yet, by balancer.
    #[serde(skip)]
    waiting: HashMap<usize, usize>,
}

impl Tally {
    /// Returns an empty tally for this many zones and tenants.
    pub fn new(zones: usize, tenants: usize) -> Tally {
        Tally {
            completed: Vec::new(),
            seconds: Vec::new(),
            zones,
            tenants,
            starts: Vec::new(),
            waiting: HashMap::new(),
        }
    }

    /// Records that the process of a balancer was started.
    pub fn started(&mut self, balancer: usize, now: Millis) {
        self.waiting.insert(balancer, self.starts.len());
        self.starts.push(Start {
            balancer,
            at: now,
            served: None,
        });
    }

    /// Records that a balancer served a request.
    pub fn served(&mut self, balancer: usize, now: Millis) {
        if let Some(start) = self.waiting.remove(&balancer) {
            self.starts[start].served = Some(now);
        }
    }

    /// The counts of the second that contains `now`.
    pub fn second(&mut self, now: Millis) -> &mut SecondCounts {
        let n = (now.max(0.0) / 1000.0) as usize;
        while self.seconds.len() <= n {
            self.seconds.push(SecondCounts {
                attempts: vec![0; self.zones],
                upstream_time: vec![0.0; self.tenants],
                ..SecondCounts::default()
            });
        }
        &mut self.seconds[n]
    }
}
