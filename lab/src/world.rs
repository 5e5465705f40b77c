//! The state that all parts of one run share: plan, clock, addresses, links, oracle and counts.
use crate::clock::Clock;
use crate::convergence::Convergence;
use crate::datagrams::{Conditions, Datagrams, MAX_DATAGRAM_BYTES};
use crate::draw::Plan;
use crate::experiment::{Experiment, Millis};
use crate::net::{lock, Block, BlockError, Link};
use crate::oracle::{Bound, ClassRules, Limits, Oracle, OracleConfig, Place, Rule};
use crate::pool::{ClientConnection, Pool};
use crate::tally::Tally;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use thiserror::Error;
use tokio::sync::watch;

/// Lateness above the precision of timers, which is reported to the oracle.
const MIN_REPORTED_LATENESS: Millis = 4.0;

/// The properties of a request or call in flight, looked up by the stand-ins that receive it.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile {
    /// Position of its class.
    pub class: usize,
    /// Position of its tenant.
    pub tenant: usize,
    /// Total work of the request over all tiers, in milliseconds on a core of speed 1.
    pub size: f64,
    /// Seeds the random draws for the request.
    pub seed: u64,
    /// Its idempotency key; all attempts of a request share it.
    pub key: u64,
    /// Time that its attempts have spent at upstreams so far, including the network delays.
    pub at_upstreams: Millis,
}

/// Why a run could not be set up.
#[derive(Debug, Error)]
pub enum WorldError {
    /// No block of addresses could be claimed.
    #[error(transparent)]
    Block(#[from] BlockError),
    /// The emulated network between balancers could not be opened.
    #[error("failed to open a socket for datagrams: {0}")]
    Datagrams(#[source] io::Error),
}

/// The shared state of one run.
pub struct World {
    /// The experiment.
    pub experiment: Experiment,
    /// The plan drawn from its seed.
    pub plan: Plan,
    /// The clock of the run.
    pub clock: Clock,
    /// The block of loopback addresses.
    pub block: Block,
    /// The emulated network between balancers.
    pub datagrams: Arc<Datagrams>,
    /// The oracle that checks the rules.
    pub oracle: Mutex<Oracle>,
    /// The convergence times of each tier.
    pub convergence: Mutex<Vec<Convergence>>,
    /// The counts of the run.
    pub tally: Mutex<Tally>,
    /// The number of active outages of the whole front.
    pub outages: AtomicUsize,
    /// Unused connections that each flooding tenant keeps open, the oldest first.
    pub flood_connections: Vec<Mutex<VecDeque<ClientConnection>>>,
    /// Whether the front opens connections to each balancer.
    pub in_rotation: Vec<AtomicBool>,
    /// The front balancers for the clients of each zone: those of the zone, or all if the zone has none.
    pub front_by_zone: Vec<Vec<usize>>,
    /// The sidecar balancer of each upstream.
    sidecars: Vec<Option<usize>>,
    /// The pools of idle client connections to each balancer.
    pub pools: Vec<Pool>,
    /// The links to each balancer: from the clients of each zone at the front, from the upstream at a sidecar.
    pub client_links: Vec<Vec<Arc<Link>>>,
    /// The requests and calls in flight.
    profile: Mutex<HashMap<u64, RequestProfile>>,
    next_id: AtomicU64,
    /// Set when the run is over.
    pub over: watch::Sender<bool>,
    /// The folder for the results.
    pub folder: PathBuf,
}

/// The limits of rules that the experiment sets.
fn limits(experiment: &Experiment) -> Limits {
    let bound = |t: &crate::experiment::Trials| Bound {
        // The experiment was validated, so the zone exists.
        zone: experiment
            .fleet
            .zones
            .iter()
            .position(|z| *z == t.zone)
            .unwrap_or_default(),
        tier: t
            .tier
            .as_ref()
            .and_then(|name| experiment.tiers.iter().position(|x| x.name == *name)),
        during: (t.during.0.least, t.during.0.most),
        most: t.most,
    };
    Limits {
        version_grace: experiment.bounds.version_grace.0.mean(),
        agree: experiment.bounds.agree.map(|s| s.0.mean()),
        retries: experiment.bounds.retries,
        trials: experiment.bounds.trials.iter().map(bound).collect(),
    }
}

/// Returns the oracle of an experiment.
fn oracle(experiment: &Experiment, plan: &Plan) -> Oracle {
    let class = |c: &crate::experiment::Class| ClassRules {
        effect: c.effect,
        group: c.group,
        window: c.window.0.mean(),
    };
    let place = |u: &crate::draw::Upstream| Place {
        zone: u.zone,
        cell: u.cell,
        tier: u.tier,
    };
    Oracle::new(OracleConfig {
        classes: experiment.classes.iter().map(class).collect(),
        places: plan.upstreams.iter().map(place).collect(),
        balancers: plan.balancers.iter().map(|b| b.name.clone()).collect(),
        upstreams: plan.upstreams.iter().map(|u| u.name.clone()).collect(),
        max_attempts: experiment.balancer.attempts as usize,
        drain_grace: experiment.balancer.drain_grace.0.mean(),
        members: plan.balancers.iter().map(|b| (b.tier, b.index)).collect(),
        limits: limits(experiment),
    })
}

/// The front balancers for the clients of a zone: those of the zone, or all if the zone has none.
fn front_of(plan: &Plan, zone: usize) -> Vec<usize> {
    let front = || (0..plan.balancers.len()).filter(|&b| plan.balancers[b].owner.is_none());
    let local: Vec<usize> = front()
        .filter(|&b| plan.balancers[b].zone == zone)
        .collect();
    if local.is_empty() {
        front().collect()
    } else {
        local
    }
}

impl World {
    /// Sets up a run without starting it.
    ///
    /// # Errors
    /// Fails if no block of addresses can be claimed or a socket can't be opened.
    pub fn new(
        experiment: &Experiment,
        plan: &Plan,
        clock: Clock,
        folder: &Path,
    ) -> Result<Arc<World>, WorldError> {
        let block = Block::claim()?;
        let zones = experiment.fleet.zones.len();
        // A front balancer has a link from the clients of each zone; a sidecar has one from its upstream.
        let links = |b: &crate::draw::Balancer| {
            (0..if b.owner.is_some() { 1 } else { zones }).map(|_| Link::open())
        };
        let net = &experiment.net;
        let conditions = Conditions {
            delay: net.datagrams.0,
            loss: net.datagram_loss,
            repeat: net.datagram_repeat,
        };
        let tiers: Vec<usize> = plan.balancers.iter().map(|b| b.tier).collect();
        let datagrams = Datagrams::open(&tiers, &block, conditions, plan.seed)
            .map_err(WorldError::Datagrams)?;
        let datagrams = Arc::new(datagrams);
        let sidecar = |u: usize| plan.balancers.iter().position(|b| b.owner == Some(u));
        Ok(Arc::new(World {
            front_by_zone: (0..zones).map(|zone| front_of(plan, zone)).collect(),
            sidecars: (0..plan.upstreams.len()).map(sidecar).collect(),
            datagrams,
            oracle: Mutex::new(oracle(experiment, plan)),
            convergence: Mutex::new(
                experiment
                    .tiers
                    .iter()
                    .map(|_| Convergence::default())
                    .collect(),
            ),
            tally: Mutex::new(Tally::new(zones, experiment.tenants.len())),
            outages: AtomicUsize::new(0),
            flood_connections: experiment
                .tenants
                .iter()
                .map(|_| Mutex::default())
                .collect(),
            in_rotation: plan
                .balancers
                .iter()
                .map(|_| AtomicBool::new(false))
                .collect(),
            pools: plan.balancers.iter().map(|_| Pool::default()).collect(),
            client_links: plan.balancers.iter().map(|b| links(b).collect()).collect(),
            profile: Mutex::default(),
            next_id: AtomicU64::new(1),
            over: watch::channel(false).0,
            experiment: experiment.clone(),
            plan: plan.clone(),
            clock,
            block,
            folder: folder.to_path_buf(),
        }))
    }

    /// Milliseconds since the run began.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Registers a request and returns its id.
    pub fn register_request(&self, profile: RequestProfile) -> u64 {
        // Spread over all 64 bits, like ids in production.
        let id = self
            .next_id
            .fetch_add(1, Ordering::Relaxed)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        lock(&self.profile).insert(id, profile);
        id
    }

    /// The profile of a request in flight.
    pub fn profile(&self, id: u64) -> Option<RequestProfile> {
        lock(&self.profile).get(&id).copied()
    }

    /// Adds the time that an attempt of a request has spent at an upstream.
    pub fn add_upstream_time(&self, id: u64, time: Millis) {
        if let Some(profile) = lock(&self.profile).get_mut(&id) {
            profile.at_upstreams += time;
        }
    }

    /// Removes a request that has ended.
    pub fn forget(&self, id: u64) {
        lock(&self.profile).remove(&id);
    }

    /// Records a violation.
    pub fn report_violation(&self, rule: Rule, case: String) {
        let now = self.now();
        lock(&self.oracle).record_violation(now, rule, case);
    }

    /// Passes a datagram that a balancer sent to the oracle; one that is too long is a violation.
    pub fn datagram(&self, from: usize, bytes: &[u8]) {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            let name = &self.plan.balancers[from].name;
            self.report_violation(
                Rule::Datagram,
                format!("{name} sent a datagram of more than {MAX_DATAGRAM_BYTES} bytes"),
            );
            return;
        }
        let now = self.now();
        lock(&self.oracle).datagram(now, from, bytes);
    }

    /// The one-way delay between two zones.
    pub fn delay(&self, a: usize, b: usize) -> Millis {
        self.plan.cross_zone[a][b]
    }

    /// The sidecar balancer of an upstream, which forwards its calls.
    pub fn sidecar(&self, upstream: usize) -> Option<usize> {
        self.sidecars[upstream]
    }

    /// Waits until a point of the run, and records how late the lab woke up.
    pub async fn until_recording_lateness(&self, at: Millis) {
        self.clock.until(at).await;
        let late = self.now() - at;
        self.clock.record_lateness(late);
        if late > MIN_REPORTED_LATENESS {
            lock(&self.oracle).lab_late(at + late, late);
        }
    }

    /// Waits until the run is over.
    pub async fn ended(&self) {
        // The sender is owned by `self`, so this can't fail.
        let _ = self.over.subscribe().wait_for(|over| *over).await;
    }
}
