//! One upstream: its machine, who waits for it, and what faults do to it. Owns its state.
use super::load_report::LoadReport;
use crate::draw::{self, Calls, Plan};
use crate::experiment::{Experiment, Millis};
use crate::machine::{Machine, Tipping, Token};
use crate::net::{lock, Direction, Link};
use crate::world::World;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{oneshot, watch, Notify};

pub(super) struct State {
    pub(super) machine: Machine,
    pub(super) waiters: HashMap<Token, oneshot::Sender<()>>,
    pub(super) next: Token,
    pub(super) connections: usize,
    pub(super) load_report: LoadReport,
    /// Recent service times and ends, for load reports.
    pub(super) recent: Millis,
    pub(super) served: u64,
    pub(super) counted: (Millis, u64),
    pub(super) noise: Calls,
    pub(super) tipped_told: bool,
}

/// One upstream.
pub struct Upstream {
    pub(super) index: usize,
    pub(super) plan: draw::Upstream,
    pub(super) noise: f64,
    pub(super) connection_idle: Duration,
    pub(super) state: Mutex<State>,
    pub(super) wake: Notify,
    /// The link to each balancer of its tier, by the balancer's number in the plan.
    pub links: HashMap<usize, Arc<Link>>,
    /// Whether anyone listens.
    pub(super) listens: watch::Sender<bool>,
    /// How often it has started.
    pub(super) starts: AtomicUsize,
    /// Part of its answers that are errors, by a fault, in millionths.
    pub(super) errors: AtomicUsize,
}

impl Upstream {
    /// A warm one that listens to nobody yet.
    pub fn new(index: usize, experiment: &Experiment, plan: &Plan) -> Upstream {
        let own = plan.upstreams[index].clone();
        let tier = &experiment.tiers[own.tier];
        let rules = &experiment.balancer;
        let tipping = Tipping {
            multiple: rules.tip_multiple,
            fall: rules.fall.0.mean(),
        };
        let shares: f64 = experiment.classes.iter().map(|c| c.share).sum();
        let mean: f64 = experiment
            .classes
            .iter()
            .map(|c| c.share / shares * c.work.mean())
            .sum();
        let senders = plan
            .balancers
            .iter()
            .enumerate()
            .filter(|(_, b)| b.tier == own.tier);
        let load_report = LoadReport {
            at: f64::NEG_INFINITY,
            text: String::new(),
            next: None,
        };
        Upstream {
            index,
            noise: tier.report.noise,
            connection_idle: Duration::from_secs_f64(tier.connections.idle.0.mean() / 1000.0),
            state: Mutex::new(State {
                machine: Machine::new(own.clone(), tipping, mean * tier.work),
                waiters: HashMap::new(),
                next: 1,
                connections: 0,
                load_report,
                recent: mean * tier.work / own.speed,
                served: 0,
                counted: (0.0, 0),
                noise: Calls::new(plan.seed ^ (index as u64) << 32),
                tipped_told: false,
            }),
            wake: Notify::new(),
            links: senders.map(|(b, _)| (b, Link::open())).collect(),
            listens: watch::channel(true).0,
            starts: AtomicUsize::new(1),
            errors: AtomicUsize::new((own.errors * 1e6) as usize),
            plan: own,
        }
    }

    /// Its id in discovery; a machine that replaces it has a new one.
    pub fn id(&self, replaced: usize) -> String {
        match replaced {
            0 => self.plan.name.clone(),
            n => format!("{}.{}", self.plan.name, n + 1),
        }
    }

    /// Runs the cores.
    pub(super) async fn run(&self, world: &World) {
        let mut done = Vec::new();
        loop {
            let next = {
                let mut state = lock(&self.state);
                state.machine.advance(world.now(), &mut done);
                for token in done.drain(..) {
                    if let Some(waiter) = state.waiters.remove(&token) {
                        // Whoever waited may have gone.
                        let _ = waiter.send(());
                    }
                }
                state.machine.next()
            };
            tokio::select! {
                () = async {
                    match next {
                        Some(at) => world.until_noted(at).await,
                        None => std::future::pending().await,
                    }
                } => {}
                () = self.wake.notified() => {}
                () = world.ended() => return,
            }
        }
    }

    /// Whether it is slow because it was overloaded.
    pub fn is_degraded(&self) -> bool {
        lock(&self.state).machine.is_degraded()
    }

    /// A fault makes it slower by this factor.
    pub fn slow_down(&self, times: f64) {
        lock(&self.state).machine.slow_down(times);
        self.wake.notify_one();
    }

    /// A fault makes it answer this part with errors; `None`: as it was drawn.
    pub fn fail(&self, part: Option<f64>) {
        let part = part.unwrap_or(self.plan.errors);
        self.errors.store((part * 1e6) as usize, Ordering::Relaxed);
    }

    /// Its process ends: connections are reset, new ones refused.
    pub fn end(&self) {
        self.listens.send_replace(false);
        self.links.values().for_each(|link| link.reset());
    }

    /// Its machine falls silent.
    pub fn vanish(&self) {
        for link in self.links.values() {
            link.cut(Direction::Inward);
            link.cut(Direction::Outward);
        }
    }

    /// Its machine can be reached again; what was open is reset.
    pub fn reappear(&self) {
        for link in self.links.values() {
            link.reset();
            link.heal(Direction::Inward);
            link.heal(Direction::Outward);
        }
    }

    /// Its process starts: cold, with nothing in it.
    pub fn begin(&self, now: Millis) {
        let mut state = lock(&self.state);
        state.machine.restart(now);
        state.waiters.clear();
        state.tipped_told = false;
        self.starts.fetch_add(1, Ordering::Relaxed);
        drop(state);
        self.listens.send_replace(true);
        self.wake.notify_one();
    }

    /// How often it has started.
    pub fn starts(&self) -> usize {
        self.starts.load(Ordering::Relaxed)
    }

    pub(super) fn connected(&self, by: isize) -> usize {
        let mut state = lock(&self.state);
        state.connections = state.connections.saturating_add_signed(by);
        let part = state.connections as f64 / self.plan.connections as f64;
        state.machine.connected(part);
        state.connections
    }

    pub(super) fn token(&self) -> Token {
        let mut state = lock(&self.state);
        state.next += 1;
        state.next
    }

    /// Waits for a piece of work to be done by a core.
    pub(super) async fn work(&self, world: &World, token: Token, work: f64) {
        let (tell, done) = oneshot::channel();
        {
            let mut state = lock(&self.state);
            state.waiters.insert(token, tell);
            state.machine.work(world.now(), token, work);
        }
        self.wake.notify_one();
        // An end without an announcement is a restart: nothing goes on from here.
        if done.await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
