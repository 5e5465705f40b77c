//! One upstream: its machine, the tasks that wait for it, and the faults that act on it. Owns its state.
use super::load_report::{Load, LoadReport, ReportRules};
use crate::draw::{self, Draws, Plan};
use crate::experiment::{Experiment, Millis};
use crate::machine::{CollapseLimit, Machine, Token};
use crate::net::{lock, Direction, Link};
use crate::world::World;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{oneshot, watch, Notify};

/// The mutable state of an upstream.
pub(super) struct State {
    pub(super) machine: Machine,
    /// The tasks that wait for a slot or for work to be done.
    pub(super) waiters: HashMap<Token, oneshot::Sender<()>>,
    last_token: Token,
    connections: usize,
    pub(super) load_report: LoadReport,
    /// Whether the collapse of the current start has been reported to the oracle.
    pub(super) collapse_reported: bool,
}

impl State {
    /// Wakes the task that waits for a token.
    fn wake(&mut self, token: Token) {
        if let Some(waiter) = self.waiters.remove(&token) {
            // The waiting task may have been dropped.
            let _ = waiter.send(());
        }
    }
}

/// One upstream.
pub struct Upstream {
    pub(super) index: usize,
    pub(super) plan: draw::Upstream,
    pub(super) connection_idle: Duration,
    pub(super) state: Mutex<State>,
    pub(super) wake: Notify,
    /// The link to each balancer of its tier, by the balancer's number in the plan.
    pub links: HashMap<usize, Arc<Link>>,
    /// Whether the ports listen.
    pub(super) listens: watch::Sender<bool>,
    /// How often it has started.
    pub(super) starts: AtomicUsize,
    /// The share of its responses that are errors, in millionths.
    pub(super) errors: AtomicUsize,
}

impl Upstream {
    /// Returns an upstream that is past its slow start and whose ports are not open yet.
    pub fn new(index: usize, experiment: &Experiment, plan: &Plan) -> Upstream {
        let own = plan.upstreams[index].clone();
        let tier = &experiment.tiers[own.tier];
        let rules = &experiment.balancer;
        let collapse_limit = CollapseLimit {
            multiple: rules.tip_multiple,
            window: rules.fall.0.mean(),
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
        let mean_work = mean * tier.work;
        let report_rules = ReportRules {
            period: own.report_period,
            delay: own.report_delay,
            noise: tier.report.noise,
        };
        let draws = Draws::new(plan.seed ^ (index as u64) << 32);
        let load_report = LoadReport::new(report_rules, draws, mean_work / own.speed);
        Upstream {
            index,
            connection_idle: Duration::from_secs_f64(tier.connections.idle.0.mean() / 1000.0),
            state: Mutex::new(State {
                machine: Machine::new(own.clone(), collapse_limit, mean_work),
                waiters: HashMap::new(),
                last_token: 1,
                connections: 0,
                load_report,
                collapse_reported: false,
            }),
            wake: Notify::new(),
            links: senders.map(|(b, _)| (b, Link::open())).collect(),
            listens: watch::channel(true).0,
            starts: AtomicUsize::new(1),
            errors: AtomicUsize::new((own.errors * 1e6) as usize),
            plan: own,
        }
    }

    /// Its id in discovery, after `replaced` replacements; each replacement machine has a new id.
    pub fn id(&self, replaced: usize) -> String {
        match replaced {
            0 => self.plan.name.clone(),
            n => format!("{}.{}", self.plan.name, n + 1),
        }
    }

    /// Runs the cores until the run is over.
    pub(super) async fn run(&self, world: &World) {
        let mut done = Vec::new();
        loop {
            let next = {
                let mut state = lock(&self.state);
                state.machine.on_timeout(world.now(), &mut done);
                for token in done.drain(..) {
                    state.wake(token);
                }
                state.machine.next_timeout()
            };
            tokio::select! {
                () = async {
                    match next {
                        Some(at) => world.until_recording_lateness(at).await,
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

    /// Makes it slower by this factor, as a fault.
    pub fn slow_down(&self, times: f64) {
        lock(&self.state).machine.slow_down(times);
        self.wake.notify_one();
    }

    /// Makes it respond with errors to this share of attempts, as a fault; `None` restores the share of the plan.
    pub fn fail(&self, share: Option<f64>) {
        let share = share.unwrap_or(self.plan.errors);
        self.errors.store((share * 1e6) as usize, Ordering::Relaxed);
    }

    /// Ends its process: connections are reset, new ones refused.
    pub fn end(&self) {
        self.listens.send_replace(false);
        self.links.values().for_each(|link| link.reset());
    }

    /// Makes its machine unreachable: no traffic passes in either direction, and no connection is refused.
    pub fn vanish(&self) {
        for link in self.links.values() {
            link.cut(Direction::Inward);
            link.cut(Direction::Outward);
        }
    }

    /// Makes its machine reachable again; connections that were open are reset.
    pub fn reappear(&self) {
        for link in self.links.values() {
            link.reset();
            link.heal(Direction::Inward);
            link.heal(Direction::Outward);
        }
    }

    /// Starts its process, empty and at the beginning of its slow start.
    pub fn begin(&self, now: Millis) {
        let mut state = lock(&self.state);
        state.machine.restart(now);
        state.waiters.clear();
        state.collapse_reported = false;
        self.starts.fetch_add(1, Ordering::Relaxed);
        drop(state);
        self.listens.send_replace(true);
        self.wake.notify_one();
    }

    /// How often it has started.
    pub fn starts(&self) -> usize {
        self.starts.load(Ordering::Relaxed)
    }

    /// Counts a connection that opened, and returns how many are open.
    pub(super) fn connection_opened(&self) -> usize {
        self.count_connections(|connections| connections.saturating_add(1))
    }

    /// Counts a connection that closed.
    pub(super) fn connection_closed(&self) {
        self.count_connections(|connections| connections.saturating_sub(1));
    }

    fn count_connections(&self, change: impl FnOnce(usize) -> usize) -> usize {
        let mut state = lock(&self.state);
        state.connections = change(state.connections);
        let share = state.connections as f64 / self.plan.connections as f64;
        state.machine.set_connections(share);
        state.connections
    }

    pub(super) fn next_token(&self) -> Token {
        let mut state = lock(&self.state);
        state.last_token += 1;
        state.last_token
    }

    /// Removes an attempt from the machine; a queued one gets its slot.
    pub(super) fn remove(&self, now: Millis, token: Token) {
        let mut state = lock(&self.state);
        state.waiters.remove(&token);
        state.machine.cancel_work(now, token);
        if let Some(next) = state.machine.handle_departure(now, token) {
            state.wake(next);
        }
        drop(state);
        self.wake.notify_one();
    }

    /// The load report that responses carry now.
    pub(super) fn load_report(&self, now: Millis) -> String {
        let mut state = lock(&self.state);
        let state = &mut *state;
        let in_flight = state.machine.in_flight();
        state.load_report.text(now, &Load { in_flight })
    }

    /// Waits for a piece of work to be done by a core.
    pub(super) async fn work(&self, world: &World, token: Token, work: f64) {
        let (waiter, done) = oneshot::channel();
        {
            let mut state = lock(&self.state);
            state.waiters.insert(token, waiter);
            state.machine.start_work(world.now(), token, work);
        }
        self.wake.notify_one();
        // A sender dropped without a message means a restart: the work is never completed.
        if done.await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
