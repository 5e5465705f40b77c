//! An emulated upstream on sockets: a [`Machine`] behind a port for each balancer that may send to it.
use crate::caller::{body, Call, Got};
use crate::clock::pause;
use crate::draw::{self, Calls, Plan};
use crate::experiment::{Experiment, Millis};
use crate::machine::{Door, Machine, Tipping, Token};
use crate::net::{lock, Direction, Gate, Manner, Port, Way};
use crate::oracle::{End, Rule};
use crate::world::{Asked, World};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch, Notify};

const BODY_MOST: usize = 64 << 10;
/// What an error answer costs, as a part of the whole work.
const ERROR_WORK: f64 = 0.1;
/// A cold upstream that fell over is nobody's fault but theirs who knew of its start and sent this part of it.
const TOLD_PART: f64 = 2.0 / 3.0;

/// The load that it says it has.
struct Said {
    at: Millis,
    text: String,
    next: Option<(Millis, String)>,
}

struct State {
    machine: Machine,
    waiters: HashMap<Token, oneshot::Sender<()>>,
    next: Token,
    connections: usize,
    said: Said,
    /// Recent service times and ends, for load reports.
    recent: Millis,
    served: u64,
    counted: (Millis, u64),
    noise: Calls,
    tipped_told: bool,
}

/// One upstream.
pub struct Upstream {
    index: usize,
    plan: draw::Upstream,
    noise: f64,
    connection_idle: Duration,
    state: Mutex<State>,
    wake: Notify,
    /// The way to each balancer of its tier, by the balancer's number in the plan.
    pub ways: HashMap<usize, Arc<Way>>,
    /// Whether anyone listens.
    listens: watch::Sender<bool>,
    /// How often it has started.
    starts: AtomicUsize,
    /// Part of its answers that are errors, by a fault, in millionths.
    errors: AtomicUsize,
}

impl Upstream {
    /// A warm one that listens to nobody yet.
    pub fn new(index: usize, experiment: &Experiment, plan: &Plan) -> Upstream {
        let own = plan.upstreams[index].clone();
        let tier = &experiment.tiers[own.tier];
        let rules = &experiment.balancer;
        let tipping = Tipping { multiple: rules.tip_multiple, fall: rules.fall.0.mean() };
        let shares: f64 = experiment.classes.iter().map(|c| c.share).sum();
        let mean: f64 = experiment.classes.iter().map(|c| c.share / shares * c.work.mean()).sum();
        let senders = plan.balancers.iter().enumerate().filter(|(_, b)| b.tier == own.tier);
        let said = Said { at: f64::NEG_INFINITY, text: String::new(), next: None };
        Upstream {
            index,
            noise: tier.report.noise,
            connection_idle: Duration::from_secs_f64(tier.connections.idle.0.mean() / 1000.0),
            state: Mutex::new(State {
                machine: Machine::new(own.clone(), tipping, mean * tier.work),
                waiters: HashMap::new(),
                next: 1,
                connections: 0,
                said,
                recent: mean * tier.work / own.speed,
                served: 0,
                counted: (0.0, 0),
                noise: Calls::new(plan.seed ^ (index as u64) << 32),
                tipped_told: false,
            }),
            wake: Notify::new(),
            ways: senders.map(|(b, _)| (b, Way::open())).collect(),
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

    /// Starts its cores and its ports.
    pub fn start(self: &Arc<Self>, world: &Arc<World>) -> Result<(), String> {
        let (own, shared) = (self.clone(), world.clone());
        tokio::spawn(async move { own.run(&shared).await });
        for (&balancer, way) in &self.ways {
            let (tell, manner) = watch::channel(Manner::Open);
            let at = world.block.upstream(self.index, balancer);
            let mut port = Port::bind(at, manner).map_err(|e| format!("{at}: {e}"))?;
            let (mut listens, mut changes, way) = (self.listens.subscribe(), way.changes(), way.clone());
            let (own, shared) = (self.clone(), world.clone());
            let on = way.clone();
            tokio::spawn(async move {
                loop {
                    let manner = match (on.is_silent(), *listens.borrow_and_update()) {
                        (true, _) => Manner::Silent,
                        (false, true) => Manner::Open,
                        (false, false) => Manner::Refusing,
                    };
                    tell.send_if_modified(|now| std::mem::replace(now, manner) != manner);
                    tokio::select! {
                        _ = changes.changed() => {}
                        _ = listens.changed() => {}
                        () = shared.ended() => return,
                    }
                }
            });
            let shared = world.clone();
            tokio::spawn(async move {
                loop {
                    match port.accept().await {
                        Ok(Some(stream)) => {
                            let (own, world, way) = (own.clone(), shared.clone(), way.clone());
                            tokio::spawn(async move { own.connection(world, stream, balancer, way).await });
                        }
                        Ok(None) => return,
                        Err(e) => {
                            tracing::warn!(upstream = %own.plan.name, "accept: {e}");
                            tokio::time::sleep(Duration::from_millis(10)).await;
                        }
                    }
                }
            });
        }
        Ok(())
    }

    /// Runs the cores.
    async fn run(&self, world: &World) {
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

    /// Whether it is slow because it was crowded.
    pub fn is_choked(&self) -> bool {
        lock(&self.state).machine.is_choked()
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
        self.ways.values().for_each(|way| way.reset());
    }

    /// Its machine falls silent.
    pub fn vanish(&self) {
        for way in self.ways.values() {
            way.cut(Direction::Inward);
            way.cut(Direction::Outward);
        }
    }

    /// Its machine can be reached again; what was open is reset.
    pub fn reappear(&self) {
        for way in self.ways.values() {
            way.reset();
            way.heal(Direction::Inward);
            way.heal(Direction::Outward);
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

    async fn connection(
        self: Arc<Self>,
        world: Arc<World>,
        stream: TcpStream,
        balancer: usize,
        way: Arc<Way>,
    ) {
        let delay = world.delay(world.plan.balancers[balancer].zone, self.plan.zone);
        let gate = Gate::new(stream, way.clone());
        let mut resets = way.resets();
        if self.connected(1) > self.plan.connections {
            self.connected(-1);
            return;
        }
        lock(&world.tally).second(world.now()).connections += 1;
        // What a handshake costs both sides.
        let hello = self.token();
        self.work(&world, hello, self.plan.connection_work).await;
        pause(2.0 * delay * self.plan.round_trips).await;
        let own = self.clone();
        let on = way.clone();
        let service = service_fn(move |request| {
            let (own, world, way) = (own.clone(), world.clone(), on.clone());
            async move { Ok::<_, Infallible>(own.respond(&world, request, balancer, &way, delay).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.connection_idle)
            .serve_connection(TokioIo::new(gate), service);
        tokio::select! {
            // How it ended shows in the requests that were on it.
            _ = connection => {}
            _ = resets.changed() => {}
        }
        self.connected(-1);
    }

    fn connected(&self, by: isize) -> usize {
        let mut state = lock(&self.state);
        state.connections = state.connections.saturating_add_signed(by);
        let part = state.connections as f64 / self.plan.connections as f64;
        state.machine.connected(part);
        state.connections
    }

    fn token(&self) -> Token {
        let mut state = lock(&self.state);
        state.next += 1;
        state.next
    }

    /// Waits for a piece of work to be done by a core.
    async fn work(&self, world: &World, token: Token, work: f64) {
        let (tell, done) = oneshot::channel();
        {
            let mut state = lock(&self.state);
            state.waiters.insert(token, tell);
            state.machine.work(world.now(), token, work);
        }
        self.wake.notify_one();
        // An end without a word is a restart: nothing goes on from here.
        if done.await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    async fn respond(
        &self,
        world: &World,
        request: Request<Incoming>,
        balancer: usize,
        way: &Way,
        delay: Millis,
    ) -> Response<Full<Bytes>> {
        let (head, incoming) = request.into_parts();
        let path = head.uri.path().to_string();
        if path == "/-/healthy" || path == "/-/load" {
            return self.probe(world, &path).await;
        }
        let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        let Some(id) = header("req-id") else { return plain(StatusCode::NOT_FOUND) };
        let id = u64::from_str_radix(id, 16).ok();
        let patience =
            header("req-deadline").and_then(|d| d.strip_suffix('u')).and_then(|d| d.parse::<f64>().ok());
        if Limited::new(incoming, BODY_MOST).collect().await.is_err() {
            return plain(StatusCode::BAD_REQUEST);
        }
        let now = world.now();
        let Some(id) = id else {
            let text = head.headers.get("req-id").map(|v| format!("{v:?}")).unwrap_or_default();
            world.breaks(Rule::Foreign, format!("{}: {text} was sent by no client", self.plan.name));
            return plain(StatusCode::BAD_REQUEST);
        };
        let Some(number) = lock(&world.oracle).attempt(now, id, balancer, self.index) else {
            return plain(StatusCode::BAD_REQUEST);
        };
        // One that has ended is no work any more; what is sent for it is the oracle's case.
        let Some(asked) = world.asked(id) else { return plain(StatusCode::BAD_REQUEST) };
        {
            let mut tally = lock(&world.tally);
            let second = tally.second(now);
            second.attempts[self.plan.zone] += 1;
            second.crossings += u64::from(world.plan.balancers[balancer].zone != self.plan.zone);
        }
        let mut out = Out {
            upstream: self,
            world,
            id,
            number,
            way,
            changes: *way.changes().borrow(),
            token: None,
            work: 0.0,
        };
        pause(delay).await;
        let until = patience.map(|us| now + us / 1000.0);
        let (status, declined) = self.serve(world, asked, balancer, until, &mut out).await;
        let mark = out.seal(status, declined);
        pause(delay).await;
        world.spent(id, world.now() - now);
        let mut response = match mark {
            Some(mark) => Response::new(Full::new(body(&self.plan.name, mark))),
            None => plain(status),
        };
        let headers = response.headers_mut();
        if declined {
            headers.insert("srv-declined", hyper::header::HeaderValue::from_static("1"));
        }
        if let Ok(load) = self.load(world.now()).try_into() {
            headers.insert("srv-load", load);
        }
        response
    }

    /// Does the work of one attempt. The second value: it was turned away and never ran.
    async fn serve(
        &self,
        world: &World,
        asked: Asked,
        balancer: usize,
        until: Option<Millis>,
        out: &mut Out<'_>,
    ) -> (StatusCode, bool) {
        let tier = &world.experiment.tiers[self.plan.tier];
        let mut drawn = Calls::new(asked.seed ^ out.number as u64);
        let work = asked.size * tier.work * drawn.noise();
        let token = self.token();
        let told = lock(&world.oracle).knows_start(balancer, self.index, self.starts());
        let (tell, slot) = oneshot::channel();
        let (door, tipped) = {
            let mut state = lock(&self.state);
            let door = state.machine.enter(world.now(), token, work, told);
            if door == Door::Waits {
                state.waiters.insert(token, tell);
            }
            let tipped = state.machine.tipped().filter(|_| !state.tipped_told);
            state.tipped_told |= tipped.is_some();
            (door, tipped)
        };
        if let Some(t) = tipped.filter(|t| t.told >= TOLD_PART) {
            let case = format!(
                "{} was sent {:.0} ms of work where it bears {:.0}, {:.0} of 100 by balancers that knew of its start",
                self.plan.name,
                t.sent,
                t.bears,
                t.told * 100.0
            );
            world.breaks(Rule::Tipped, case);
        }
        self.wake.notify_one();
        if door == Door::Full {
            lock(&world.tally).second(world.now()).declined += 1;
            return (StatusCode::SERVICE_UNAVAILABLE, true);
        }
        out.token = Some(token);
        if door == Door::Waits && slot.await.is_err() {
            std::future::pending::<()>().await;
        }
        let began = world.now();
        let errors = self.errors.load(Ordering::Relaxed) as f64 / 1e6;
        if drawn.chance(errors) {
            self.work(world, token, work * ERROR_WORK).await;
            return (StatusCode::INTERNAL_SERVER_ERROR, false);
        }
        let calls = match world.experiment.tiers.get(self.plan.tier + 1) {
            Some(_) => drawn.count(world.plan.calls[self.plan.tier + 1] / world.plan.calls[self.plan.tier]),
            None => 0,
        };
        let before = if calls > 0 { work / 2.0 } else { work };
        self.work(world, token, before).await;
        out.work += before;
        pause(world.experiment.classes[asked.class].waits.0.mean() * tier.work).await;
        let left = until.unwrap_or(f64::INFINITY);
        for n in 0..calls {
            if !self.call(world, asked, drawn.seed(), n, left).await {
                return (StatusCode::INTERNAL_SERVER_ERROR, false);
            }
        }
        if calls > 0 {
            self.work(world, token, work - before).await;
            out.work += work - before;
        }
        let took = world.now() - began;
        let mut state = lock(&self.state);
        state.recent += 0.1 * (took - state.recent);
        state.served += 1;
        drop(state);
        let class = &world.experiment.classes[asked.class];
        if class.effect == crate::experiment::Effect::Keyed && self.plan.tier == 0 {
            lock(&world.oracle).effect(world.now(), asked.key, asked.class, self.index);
        }
        (StatusCode::OK, false)
    }

    /// One call to the next tier through the balancer beside.
    async fn call(&self, world: &World, asked: Asked, seed: u64, n: usize, until: Millis) -> bool {
        let Some(balancer) = world.beside(self.index) else { return false };
        let now = world.now();
        let patience = (until - now).min(world.plan.spans[asked.class].1);
        if patience <= 1.0 {
            return false;
        }
        // A repeat of the request makes the same calls: they carry the same keys.
        let key = asked.key.wrapping_mul(31).wrapping_add(n as u64 + 1);
        let call = Call {
            balancer,
            way: world.caller_ways[balancer][0].clone(),
            delay: 0.0,
            asked: Asked { seed, key, at_upstreams: 0.0, ..asked },
            sent: now,
            patience,
            leaves: None,
            retry: false,
        };
        matches!(call.make(world).await, Got::Served(_))
    }

    async fn probe(&self, world: &World, path: &str) -> Response<Full<Bytes>> {
        let tier = &world.experiment.tiers[self.plan.tier];
        let Some(work) = tier.probe_work else { return plain(StatusCode::NOT_FOUND) };
        lock(&world.tally).second(world.now()).probes += 1;
        let token = self.token();
        self.work(world, token, work.mean()).await;
        match path {
            "/-/load" => Response::new(Full::new(Bytes::from(self.load(world.now())))),
            _ => plain(StatusCode::OK),
        }
    }

    /// What it says of its load now: taken now and then, shown a little later, and a little wrong.
    fn load(&self, now: Millis) -> String {
        let mut state = lock(&self.state);
        let state = &mut *state;
        if state.said.next.as_ref().is_some_and(|&(at, _)| now >= at) {
            state.said.text = state.said.next.take().map(|(_, text)| text).unwrap_or_default();
        }
        if now - state.said.at >= self.plan.report_period && state.said.next.is_none() {
            let (since, before) = state.counted;
            let span = (now - since).max(1.0);
            let mut noisy = |v: f64| {
                let off = (state.noise.noise() - 1.0) * 5.0;
                (v * (1.0 + self.noise * off)).max(0.0)
            };
            let qps = noisy((state.served - before) as f64 * 1000.0 / span);
            let (latency, held) = (noisy(state.recent), noisy(state.machine.holds() as f64));
            let text = format!("TEXT latency_ms={latency:.1}, qps={qps:.1}, inflight={held:.1}");
            (state.counted, state.said.at) = ((now, state.served), now);
            state.said.next = Some((now + self.plan.report_delay, text));
        }
        state.said.text.clone()
    }
}

/// An attempt that is in work: books its end, whatever it is.
struct Out<'a> {
    upstream: &'a Upstream,
    world: &'a World,
    id: u64,
    number: usize,
    way: &'a Way,
    /// Changes of the way when it began: one since then hides when it ended.
    changes: u64,
    token: Option<Token>,
    work: f64,
}

impl Out<'_> {
    /// Ends with an answer; a served one gets its mark.
    fn seal(mut self, status: StatusCode, declined: bool) -> Option<u64> {
        let mark = self.id.rotate_left(17) ^ self.number as u64;
        let end = match status {
            StatusCode::OK => End::Served(mark),
            _ if declined => End::Declined,
            _ => End::Error,
        };
        self.book(end);
        (status == StatusCode::OK).then_some(mark)
    }

    fn book(&mut self, end: End) {
        let now = self.world.now();
        let hidden = self.way.is_silent() || *self.way.changes().borrow() != self.changes;
        lock(&self.world.oracle).attempt_ended(now, self.id, self.number, end, hidden);
        {
            let mut tally = lock(&self.world.tally);
            let second = tally.second(now);
            second.worked += self.work;
            second.wasted += if matches!(end, End::Served(_)) { 0.0 } else { self.work };
        }
        if let Some(token) = self.token.take() {
            let mut state = lock(&self.upstream.state);
            state.waiters.remove(&token);
            state.machine.drop_work(now, token);
            if let Some(next) = state.machine.leave(now, token) {
                if let Some(waiter) = state.waiters.remove(&next) {
                    // Whoever waited may have gone.
                    let _ = waiter.send(());
                }
            }
            drop(state);
            self.upstream.wake.notify_one();
        }
        self.number = usize::MAX;
    }
}

impl Drop for Out<'_> {
    fn drop(&mut self) {
        if self.number != usize::MAX {
            self.book(End::Closed);
        }
    }
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
