//! What all parts of one run share: its plan, its time, its addresses and links, its checks and counts.
use crate::clock::Clock;
use crate::convergence::Convergence;
use crate::datagrams::{Conditions, Datagrams, LONGEST};
use crate::draw::Plan;
use crate::experiment::{Experiment, Millis};
use crate::net::{lock, Block, BlockError, Link};
use crate::oracle::{Bound, ClassRules, Limits, Oracle, Parts, Place, Rule};
use crate::pool::{Conn, Pool};
use crate::tally::Tally;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use thiserror::Error;
use tokio::sync::watch;

/// Lateness that is more than what timers are good to: it is reported to the oracle.
const MIN_REPORTED_LATENESS: Millis = 4.0;

/// What the lab remembers of a request or call that is out, for whoever gets it next.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile {
    /// Position of its class.
    pub class: usize,
    /// Position of its tenant.
    pub tenant: usize,
    /// Work of the whole request, in milliseconds at a core of speed 1, over all tiers.
    pub size: f64,
    /// Feeds what is drawn for it.
    pub seed: u64,
    /// Its key; all tries of a request share it.
    pub key: u64,
    /// Time that its attempts have spent at upstreams so far, the delays there and back included.
    pub at_upstreams: Millis,
}

/// Why a run could not be put together.
#[derive(Debug, Error)]
pub enum WorldError {
    /// It has no addresses.
    #[error(transparent)]
    Block(#[from] BlockError),
    /// It has no network between balancers.
    #[error("a socket for datagrams: {0}")]
    Datagrams(#[source] io::Error),
}

/// One run.
pub struct World {
    /// The experiment.
    pub experiment: Experiment,
    /// What its seed made of it.
    pub plan: Plan,
    /// The run's time.
    pub clock: Clock,
    /// The addresses.
    pub block: Block,
    /// The link between balancers.
    pub datagrams: Arc<Datagrams>,
    /// The checks.
    pub oracle: Mutex<Oracle>,
    /// How soon each tier knows who runs.
    pub convergence: Mutex<Vec<Convergence>>,
    /// The counts.
    pub tally: Mutex<Tally>,
    /// Outages of the whole front that are on.
    pub outages: AtomicUsize,
    /// Connections that tenants open and leave open, the oldest first.
    pub floods: Vec<Mutex<VecDeque<Conn>>>,
    /// Whether the front deals connections out to each balancer.
    pub dealt: Vec<AtomicBool>,
    /// The balancers that the front has for the clients of each zone: those of the zone, or all if it has none.
    pub fronts: Vec<Vec<usize>>,
    /// The balancer beside each upstream.
    beside: Vec<Option<usize>>,
    /// Connections that clients keep to each balancer.
    pub pools: Vec<Pool>,
    /// The link from the clients of each zone, or the upstream beside, to each balancer.
    pub client_links: Vec<Vec<Arc<Link>>>,
    /// Requests and calls that are out.
    profile: Mutex<HashMap<u64, RequestProfile>>,
    next_id: AtomicU64,
    /// Set when everything is to end.
    pub over: watch::Sender<bool>,
    /// Where results go.
    pub folder: PathBuf,
}

/// Metrics of the rules that depend on the experiment.
fn limits(e: &Experiment) -> Limits {
    let bound = |t: &crate::experiment::Trials| Bound {
        // The names were checked when the file was read.
        zone: e
            .fleet
            .zones
            .iter()
            .position(|z| *z == t.zone)
            .unwrap_or_default(),
        tier: t
            .tier
            .as_ref()
            .and_then(|name| e.tiers.iter().position(|x| x.name == *name)),
        during: (t.during.0.least, t.during.0.most),
        most: t.most,
    };
    Limits {
        version_grace: e.bounds.version_grace.0.mean(),
        agree: e.bounds.agree.map(|s| s.0.mean()),
        retries: e.bounds.retries,
        trials: e.bounds.trials.iter().map(bound).collect(),
    }
}

/// The oracle of an experiment.
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
    Oracle::new(Parts {
        classes: experiment.classes.iter().map(class).collect(),
        places: plan.upstreams.iter().map(place).collect(),
        balancers: plan.balancers.iter().map(|b| b.name.clone()).collect(),
        upstreams: plan.upstreams.iter().map(|u| u.name.clone()).collect(),
        attempts_most: experiment.balancer.attempts as usize,
        drain_grace: experiment.balancer.drain_grace.0.mean(),
        members: plan.balancers.iter().map(|b| (b.tier, b.index)).collect(),
        limits: limits(experiment),
    })
}

/// The balancers at the front for the clients of a zone: its own, or all if it has none.
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
    /// Puts a run together; nothing of it runs yet.
    ///
    /// # Errors
    /// When there are no addresses or sockets for it.
    pub fn new(
        experiment: &Experiment,
        plan: &Plan,
        clock: Clock,
        folder: &Path,
    ) -> Result<Arc<World>, WorldError> {
        let block = Block::claim()?;
        let zones = experiment.fleet.zones.len();
        // The front has a link from each zone's clients; a balancer beside an upstream has one client.
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
        let beside = |u: usize| plan.balancers.iter().position(|b| b.owner == Some(u));
        Ok(Arc::new(World {
            fronts: (0..zones).map(|zone| front_of(plan, zone)).collect(),
            beside: (0..plan.upstreams.len()).map(beside).collect(),
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
            floods: experiment
                .tenants
                .iter()
                .map(|_| Mutex::default())
                .collect(),
            dealt: plan
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

    /// Milliseconds of the run.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// A new id for a request, and what it asks for.
    pub fn ask(&self, profile: RequestProfile) -> u64 {
        // Spread over all 64 bits, so that ids look as they do in service.
        let id = self
            .next_id
            .fetch_add(1, Ordering::Relaxed)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        lock(&self.profile).insert(id, profile);
        id
    }

    /// What a request asked for.
    pub fn profile(&self, id: u64) -> Option<RequestProfile> {
        lock(&self.profile).get(&id).copied()
    }

    /// An attempt of a request has spent this time at an upstream.
    pub fn spent(&self, id: u64, time: Millis) {
        if let Some(profile) = lock(&self.profile).get_mut(&id) {
            profile.at_upstreams += time;
        }
    }

    /// Nothing more is wanted of a request.
    pub fn forget(&self, id: u64) {
        lock(&self.profile).remove(&id);
    }

    /// Records a violation.
    pub fn breaks(&self, rule: Rule, case: String) {
        let now = self.now();
        lock(&self.oracle).breaks(now, rule, case);
    }

    /// A balancer has sent a datagram.
    pub fn datagram(&self, from: usize, bytes: &[u8]) {
        if bytes.len() > LONGEST {
            let name = &self.plan.balancers[from].name;
            self.breaks(
                Rule::Datagram,
                format!("{name} sent a datagram of more than {LONGEST} bytes"),
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

    /// The balancer beside an upstream, which carries its calls on.
    pub fn beside(&self, upstream: usize) -> Option<usize> {
        self.beside[upstream]
    }

    /// Waits until a point of the run, and notes how late the lab got to it.
    pub async fn until_noted(&self, at: Millis) {
        self.clock.until(at).await;
        let late = self.now() - at;
        self.clock.note_late(late);
        if late > MIN_REPORTED_LATENESS {
            lock(&self.oracle).lab_late(at + late, late);
        }
    }

    /// Waits until the run is over.
    pub async fn ended(&self) {
        // The sender lives as long as the world, so this can't fail before it is set.
        let _ = self.over.subscribe().wait_for(|over| *over).await;
    }
}
