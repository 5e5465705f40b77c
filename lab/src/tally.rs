//! What a run counts: every request's end, and what passed between whom in each second.
use crate::experiment::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// How a request ended for its client, over all attempts of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum How {
    /// Served.
    Served,
    /// Refused.
    Refused,
    /// Answered as failed, or with what is not whole.
    Failed,
    /// No response in its time.
    #[serde(rename = "silent")]
    TimedOut,
    /// No balancer could be reached.
    Unreached,
    /// The client left.
    Left,
}

/// One request, from when it was due to its end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Done {
    /// When it was due.
    pub at: Millis,
    /// Position of its class.
    pub class: usize,
    /// Position of its tenant.
    pub tenant: usize,
    /// Position of its client's zone.
    pub zone: usize,
    /// How it ended.
    pub how: How,
    /// From when it was due to the last byte of its answer.
    pub took: Millis,
    /// Attempts of the client.
    #[serde(rename = "tries")]
    pub client_attempts: u32,
    /// Time that the balancer added to what upstreams took, if it was served.
    pub added: Option<Millis>,
}

/// One start of a balancer.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Start {
    /// Which balancer.
    pub balancer: usize,
    /// When its process was begun.
    pub at: Millis,
    /// When its first answer came that was served.
    pub served: Option<Millis>,
}

/// What passed in one second.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Second {
    /// Attempts that reached upstreams of each zone.
    pub attempts: Vec<u64>,
    /// Of these, the first of their request.
    #[serde(default)]
    pub firsts: u64,
    /// Time that the attempts of each tenant have spent at upstreams, in milliseconds, counted at their end.
    #[serde(default, rename = "held")]
    pub upstream_time: Vec<f64>,
    /// Of the attempts, those that came from a balancer of another zone.
    pub crossings: u64,
    /// New connections to upstreams.
    pub connections: u64,
    /// Attempts turned away by a full upstream.
    pub declined: u64,
    /// Probes.
    pub probes: u64,
    /// Upstreams that are slow because they were overloaded, at the end of it.
    pub choked: u64,
    /// Work done for attempts whose answer nobody got, in milliseconds of a core.
    pub wasted: f64,
    /// Work done.
    pub worked: f64,
}

/// All that is counted.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Tally {
    /// Every request that has ended.
    pub done: Vec<Done>,
    /// Every second of the run.
    pub seconds: Vec<Second>,
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
    /// Nothing counted, for so many zones and tenants.
    pub fn new(zones: usize, tenants: usize) -> Tally {
        Tally {
            done: Vec::new(),
            seconds: Vec::new(),
            zones,
            tenants,
            starts: Vec::new(),
            waiting: HashMap::new(),
        }
    }

    /// The process of a balancer was begun.
    pub fn started(&mut self, balancer: usize, now: Millis) {
        self.waiting.insert(balancer, self.starts.len());
        self.starts.push(Start {
            balancer,
            at: now,
            served: None,
        });
    }

    /// A balancer's answer came that was served.
    pub fn served(&mut self, balancer: usize, now: Millis) {
        if let Some(start) = self.waiting.remove(&balancer) {
            self.starts[start].served = Some(now);
        }
    }

    /// The counts of the second that `now` lies in.
    pub fn second(&mut self, now: Millis) -> &mut Second {
        let n = (now.max(0.0) / 1000.0) as usize;
        while self.seconds.len() <= n {
            self.seconds.push(Second {
                attempts: vec![0; self.zones],
                upstream_time: vec![0.0; self.tenants],
                ..Second::default()
            });
        }
        &mut self.seconds[n]
    }
}
