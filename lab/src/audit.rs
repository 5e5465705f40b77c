//! Compares the metrics of balancers with what the lab's stand-ins saw.
use crate::oracle::ObservedCounts;
use serde::Deserialize;
use std::collections::BTreeMap;

/// The part of a balancer's metrics that the lab can check.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct BalancerMetrics {
    /// When the metrics were written, as Unix time in milliseconds.
    pub at_ms: f64,
    /// Time since the balancer's start, in milliseconds.
    #[serde(default)]
    pub up_ms: f64,
    /// The number that identifies this start of the balancer, if it reports one.
    #[serde(default)]
    pub incarnation: Option<u64>,
    requests: u64,
    #[serde(default)]
    ended: BTreeMap<String, u64>,
    attempts: u64,
    #[serde(default)]
    attempts_ended: BTreeMap<String, u64>,
    #[serde(default)]
    peers: Option<Peers>,
}

/// The metrics about the balancer's peers.
#[derive(Clone, Debug, Default, Deserialize)]
struct Peers {
    #[serde(default)]
    up: u32,
    #[serde(default)]
    suspected: u64,
    #[serde(default, rename = "gone")]
    departed: u64,
    #[serde(default)]
    steps: u64,
    #[serde(default)]
    sums: Option<Sums>,
    #[serde(default)]
    evidence_age_ms: Option<f64>,
}

#[derive(Clone, Debug, Default, Deserialize)]
struct Sums {
    age_ms: f64,
    #[serde(default)]
    heard: u32,
}

/// A balancer's view of its tier.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tier {
    /// Balancers that it considers up.
    pub up: u32,
    /// Balancers whose values are in its sums.
    pub in_sums: u32,
    /// How often it has newly suspected a peer.
    pub suspected: u64,
    /// How often it has removed a peer as departed.
    pub departed: u64,
    /// Changes of the protocol version that it sends.
    pub steps: u64,
}

impl BalancerMetrics {
    /// Its view of its tier, if it exchanges datagrams with its peers.
    pub fn tier(&self) -> Option<Tier> {
        let p = self.peers.as_ref()?;
        let in_sums = p.sums.as_ref().map_or(0, |s| s.heard);
        Some(Tier {
            up: p.up,
            in_sums,
            suspected: p.suspected,
            departed: p.departed,
            steps: p.steps,
        })
    }

    /// The kinds of data from peers that it acts on, each with its age in milliseconds.
    pub fn shared_data_ages(&self) -> impl Iterator<Item = (&'static str, f64)> + '_ {
        let sums = self
            .peers
            .iter()
            .filter_map(|p| p.sums.as_ref())
            .map(|s| ("sums", s.age_ms));
        sums.chain(
            self.peers
                .iter()
                .filter_map(|p| p.evidence_age_ms)
                .map(|age| ("evidence", age)),
        )
    }
}

/// Describes the differences in one line; `None` if the metrics are consistent with what was seen.
///
/// If a client cancelled or a connection broke, the balancer and the lab may see different ends of the same request.
/// Each count may differ by the number of such requests.
pub fn find_differences(counted: &BalancerMetrics, seen: &ObservedCounts) -> Option<String> {
    let sum = |of: &BTreeMap<String, u64>, of_name: &dyn Fn(&str) -> bool| -> u64 {
        of.iter()
            .filter(|(name, _)| of_name(name))
            .map(|(_, n)| n)
            .sum()
    };
    let ended = |name: &str| sum(&counted.ended, &|n| n == name);
    let refused = sum(&counted.ended, &|n| n.starts_with("refused"));
    let open = seen.unclear;
    let mut wrong = Vec::new();
    let mut set = |what: &str, counted: u64, seen: u64, may: u64| {
        if counted.abs_diff(seen) > may {
            wrong.push(format!("{what}: counted {counted}, seen {seen}"));
        }
    };
    set("requests", counted.requests, seen.taken, open);
    set("served", ended("served"), seen.served, open);
    set("refused", refused, seen.refused, open);
    set("failed", ended("failed"), seen.failed, open);
    // The lab does not see attempts that never reached an upstream; attempts that were given up may or may not have
    // reached one.
    let never = sum(&counted.attempts_ended, &|n| {
        matches!(n, "not_connected" | "not_sent")
    });
    let perhaps = sum(&counted.attempts_ended, &|n| {
        matches!(n, "timed_out" | "cancelled" | "reset")
    });
    let completed = counted.attempts.saturating_sub(never);
    let nearest = seen
        .attempts
        .clamp(completed.saturating_sub(perhaps), completed);
    set("attempts", nearest, seen.attempts, open);
    (!wrong.is_empty()).then(|| wrong.join("; "))
}
