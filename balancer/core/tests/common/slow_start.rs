//! Many balancers before upstreams of which some are in slow start, on simulated time: counts what these are sent.
use balancer_core::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// The window in which calls to an upstream in slow start are counted, in milliseconds.
pub(crate) const WINDOW: f64 = 3000.0;
/// When upstreams restart; what balancers learn before is learned by then.
pub(crate) const RESTART_AT: f64 = 5000.0;
pub(crate) const SLOW_START_TIME: f64 = 20_000.0;
pub(crate) const SLOW_START_FROM: f64 = 0.15;
pub(crate) const OVERLOAD_MULTIPLE: f64 = 2.5;
/// What a response takes on average, in milliseconds.
const SERVICE_TIME: f64 = 50.0;
/// What a failed connection takes, and a rejection, in milliseconds.
const FAILURE_TIME: f64 = 5.0;
/// An upstream rejects calls beyond this much work ahead of them, in milliseconds.
const MAX_QUEUE: f64 = 300.0;

/// The fleet, what clients request and what goes wrong.
pub(crate) struct Scenario {
    /// Balancers that run.
    pub balancers: usize,
    /// Balancers that the settings name.
    pub stated_balancers: usize,
    pub upstreams: u64,
    /// The first so many upstreams restart at [`RESTART_AT`].
    pub restarting: u64,
    /// Calls a second that an upstream carries after slow start.
    pub capacity: f64,
    /// Calls a second that clients make, as a part of what all upstreams carry.
    pub load: fn(f64) -> f64,
    /// How much of the traffic a balancer gets beside the others.
    pub weight: fn(usize) -> f64,
    /// How calls end, by upstream and time.
    pub ending: fn(UpstreamId, f64) -> Ending,
    /// Whether a balancer restarts then; looked at every 100 ms.
    pub restarts: fn(usize, f64) -> bool,
    /// Updates of the list but the restart itself: sent to all at that time.
    pub updates: Vec<(f64, Vec<Endpoint>)>,
    pub stage: u32,
    /// The part of what the upstreams carry that the quotas state.
    pub quotas: f64,
    /// Upstreams report how many requests a second they serve.
    pub reports_served: bool,
    /// Capacity of an upstream beside the others of the fleet.
    pub relative_capacity: fn(UpstreamId) -> f64,
    /// The zone of an upstream, of three; balancers run in all of them alike.
    pub zone: fn(UpstreamId) -> u16,
    /// Calls prefer the local zone.
    pub prefers_local: bool,
    pub span: f64,
    pub seed: u64,
}

impl Scenario {
    pub(crate) fn new(balancers: usize, upstreams: u64, capacity: f64, seed: u64) -> Self {
        Scenario {
            balancers,
            stated_balancers: balancers,
            upstreams,
            restarting: 1,
            capacity,
            load: |_| 1.0,
            weight: |_| 1.0,
            ending: |_, _| Ending::Ok,
            restarts: |_, _| false,
            updates: Vec::new(),
            stage: 0,
            quotas: 1.0,
            reports_served: false,
            relative_capacity: |_| 1.0,
            zone: |_| 0,
            prefers_local: false,
            span: RESTART_AT + SLOW_START_TIME,
            seed,
        }
    }

    /// A ready upstream that started then.
    pub(crate) fn listed(&self, id: u64, since: f64) -> Endpoint {
        let zone = (self.zone)(UpstreamId(id));
        Endpoint {
            kind: (id % 3) as u8,
            zone,
            since,
            ..super::endpoint(id)
        }
    }
}

/// A window in which calls are counted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Window {
    pub calls: usize,
    /// The most calls that may be sent in it.
    pub budget: f64,
    /// Age of the upstream at its end.
    pub age: f64,
}

impl Window {
    fn used(&self) -> f64 {
        self.calls as f64 / self.budget
    }
}

/// What was sent to the upstreams in slow start.
pub(crate) struct Outcome {
    /// The worst window: calls in it as a part of its budget.
    pub worst_use: f64,
    pub worst_window: Window,
    /// Calls sent to upstreams in slow start, as a part of what the multiple allows over it.
    pub used: f64,
    /// Calls that upstreams in slow start served.
    pub served_in_slow_start: usize,
    /// Clients' requests since the restart.
    pub requested: usize,
    /// Those of `requested` that were served.
    pub served_requests: usize,
}

enum Step {
    Arrival,
    Timer(usize, u64, u32),
    Ended { call: Call, ending: Ending },
    BalancerRestarts,
    UpstreamRestart,
    Update(usize),
}

/// An attempt that was sent.
struct Call {
    balancer: usize,
    incarnation: u64,
    request: RequestId,
    attempt: u32,
    upstream: UpstreamId,
    sent_at: f64,
}

struct At(f64, u64, Step);
impl PartialEq for At {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for At {}
impl PartialOrd for At {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for At {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// One start of an upstream: which, and the millisecond.
type Start = (UpstreamId, u64);

/// A balancer, how many processes it had before, and the attempts and deadline of each of its open requests.
struct Process {
    balancer: Balancer,
    incarnation: u64,
    open: BTreeMap<RequestId, (u32, f64)>,
}

struct Fleet {
    scenario: Scenario,
    now: f64,
    number: u64,
    rng: Pcg64Mcg,
    schedule: BinaryHeap<Reverse<At>>,
    processes: Vec<Process>,
    listed: BTreeMap<UpstreamId, Endpoint>,
    weights: Vec<f64>,
    /// When calls were sent to each upstream since its slow start began.
    sends: BTreeMap<Start, Vec<f64>>,
    /// Calls that each upstream served within the last second.
    recent: BTreeMap<UpstreamId, VecDeque<f64>>,
    /// When each upstream has done all that it was sent.
    busy_until: BTreeMap<UpstreamId, f64>,
    served_in_slow_start: usize,
    requested: usize,
    served_requests: usize,
}

/// The least that an upstream can do at this age, as a part of its full capacity.
pub(crate) fn slow_start_weight(age: f64) -> f64 {
    (SLOW_START_FROM + (1.0 - SLOW_START_FROM) * age / SLOW_START_TIME).min(1.0)
}

/// The most calls that may be sent within a window in which the settings allow `n`.
pub(crate) fn budget(n: f64) -> f64 {
    let slack = if n < 30.0 { 3.0 } else { 2.0 };
    n + slack * n.sqrt() + slack
}

/// Plays a day and counts the calls of every sliding window against the budget at its end.
pub(crate) fn play(scenario: Scenario) -> Outcome {
    let mut fleet = Fleet::new(scenario);
    fleet.run();
    fleet.judge()
}

impl Fleet {
    fn new(scenario: Scenario) -> Self {
        let endpoints =
            (1..=scenario.upstreams).map(|id| (UpstreamId(id), scenario.listed(id, 0.0)));
        let weights = (0..scenario.balancers).map(scenario.weight).collect();
        let mut fleet = Fleet {
            now: 0.0,
            number: 0,
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            schedule: BinaryHeap::new(),
            processes: Vec::new(),
            listed: endpoints.collect(),
            weights,
            sends: BTreeMap::new(),
            recent: BTreeMap::new(),
            busy_until: BTreeMap::new(),
            served_in_slow_start: 0,
            requested: 0,
            served_requests: 0,
            scenario,
        };
        for index in 0..fleet.scenario.balancers {
            let balancer = fleet.process(index, 0);
            fleet.processes.push(Process {
                balancer,
                incarnation: 0,
                open: BTreeMap::new(),
            });
            fleet.send_list(index);
        }
        fleet.after(0.0, Step::Arrival);
        fleet.after(100.0, Step::BalancerRestarts);
        fleet.after(RESTART_AT, Step::UpstreamRestart);
        let times: Vec<f64> = fleet
            .scenario
            .updates
            .iter()
            .map(|updates| updates.0)
            .collect();
        times
            .into_iter()
            .enumerate()
            .for_each(|(n, at)| fleet.after(at, Step::Update(n)));
        fleet
    }

    fn process(&self, index: usize, incarnation: u64) -> Balancer {
        let scenario = &self.scenario;
        let quotas = scenario.upstreams as f64 * scenario.capacity * scenario.quotas;
        let settings = Settings {
            index: index as u32,
            balancers: scenario.stated_balancers as u32,
            stage: scenario.stage,
            zone: (index % 3) as u16,
            cross_zone_price: if scenario.prefers_local { 0.2 } else { 0.0 },
            classes: vec![super::class(Effect::Free)],
            tenants: super::tenants(&[1.0], quotas),
            slow_start_from: SLOW_START_FROM,
            slow_start_time: SLOW_START_TIME,
            overload_multiple: OVERLOAD_MULTIPLE,
            ..Settings::default()
        };
        let seed = (scenario.seed * 1000 + index as u64) * 1000 + incarnation;
        Balancer::new(settings, seed, self.now).expect("settings")
    }

    /// A new process learns its list.
    fn send_list(&mut self, index: usize) {
        let update_endpoints = self.listed.values().cloned().collect();
        self.event(
            index,
            Event::EndpointUpdate(EndpointUpdate::Cached(update_endpoints)),
        );
    }

    fn after(&mut self, span: f64, schedule: Step) {
        self.number += 1;
        self.schedule
            .push(Reverse(At(self.now + span, self.number, schedule)));
    }

    fn random_unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn run(&mut self) {
        while let Some(Reverse(At(at, _, schedule))) = self
            .schedule
            .pop()
            .filter(|schedule| schedule.0 .0 <= self.scenario.span)
        {
            self.now = at;
            match schedule {
                Step::Arrival => self.arrival(),
                Step::Timer(index, incarnation, token)
                    if self.processes[index].incarnation == incarnation =>
                {
                    self.event(index, Event::Timer(token));
                }
                Step::Timer(..) => {}
                Step::Ended { call, ending } => self.end_call(&call, ending),
                Step::BalancerRestarts => self.restart_balancers(),
                Step::UpstreamRestart => {
                    let restarting = (1..=self.scenario.restarting)
                        .map(|id| self.scenario.listed(id, self.now))
                        .collect();
                    self.update_endpoints(restarting);
                }
                Step::Update(n) => {
                    let updates = self.scenario.updates[n].1.clone();
                    self.update_endpoints(updates);
                }
            }
        }
    }

    fn update_endpoints(&mut self, updates: Vec<Endpoint>) {
        for m in &updates {
            if self
                .listed
                .get(&m.id)
                .is_none_or(|known| known.since != m.since)
            {
                self.sends.insert((m.id, m.since as u64), Vec::new());
            }
            self.listed.insert(m.id, m.clone());
        }
        for index in 0..self.processes.len() {
            self.event(
                index,
                Event::EndpointUpdate(EndpointUpdate::Delta(updates.clone())),
            );
        }
    }

    fn restart_balancers(&mut self) {
        for index in 0..self.processes.len() {
            if (self.scenario.restarts)(index, self.now) {
                let incarnation = self.processes[index].incarnation + 1;
                let balancer = self.process(index, incarnation);
                self.processes[index] = Process {
                    balancer,
                    incarnation,
                    open: BTreeMap::new(),
                };
                self.send_list(index);
            }
        }
        self.after(100.0, Step::BalancerRestarts);
    }

    fn arrival(&mut self) {
        let rate = (self.scenario.load)(self.now)
            * self.scenario.capacity
            * self.scenario.upstreams as f64;
        let pause = -(1.0 - self.random_unit()).ln() * 1000.0 / rate.max(0.001);
        self.after(pause.min(50.0), Step::Arrival);
        if pause > 50.0 {
            return;
        }
        let mut at = self.random_unit() * self.weights.iter().sum::<f64>();
        let last = self.weights.len() - 1;
        let within = |w: &f64| {
            at -= w;
            at < 0.0
        };
        let index = self.weights.iter().position(within).unwrap_or(last);
        self.number += 1;
        let id = RequestId(self.number as u32);
        let deadline = self.now + 2000.0;
        self.processes[index].open.insert(id, (0, deadline));
        self.requested += usize::from(self.now >= RESTART_AT);
        self.event(
            index,
            Event::Request(Request {
                id,
                class: 0,
                tenant: 0,
                deadline,
                tie: self.number,
            }),
        );
    }

    /// Ends a call, if its balancer still runs and waits for it.
    fn end_call(&mut self, call: &Call, ending: Ending) {
        let process = &mut self.processes[call.balancer];
        let open = process.open.get(&call.request);
        let in_flight = open.is_some_and(|&(attempts, _)| attempts == call.attempt + 1);
        if process.incarnation != call.incarnation || !in_flight {
            return;
        }
        let closed = ending == Ending::Ok;
        if closed {
            process.open.remove(&call.request);
            self.record_served(call.balancer, call.upstream);
        }
        let outcome = Event::Outcome {
            request: call.request,
            attempt: call.attempt,
            ending,
            duration: self.now - call.sent_at,
            closed,
        };
        self.event(call.balancer, outcome);
    }

    /// Counts a call that an upstream served, and lets it report its rate.
    fn record_served(&mut self, balancer: usize, upstream: UpstreamId) {
        let now = self.now;
        self.served_requests += usize::from(now >= RESTART_AT);
        let since = self.listed[&upstream].since;
        let in_slow_start = since > 0.0 && now - since < SLOW_START_TIME;
        self.served_in_slow_start += usize::from(in_slow_start);
        if !self.scenario.reports_served {
            return;
        }
        let recent = self.recent.entry(upstream).or_default();
        recent.push_back(now);
        while recent.front().is_some_and(|&at| at <= now - 1000.0) {
            recent.pop_front();
        }
        let per_s = recent.len() as f64;
        self.event(balancer, Event::Served { upstream, per_s });
    }

    fn event(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        self.processes[index]
            .balancer
            .handle(self.now, event, &mut actions);
        let incarnation = self.processes[index].incarnation;
        for action in actions {
            match action {
                Action::Send {
                    request,
                    upstream,
                    timeout,
                    ..
                } => self.send(index, request, upstream, timeout),
                Action::SetTimer { after, token } => {
                    self.after(after, Step::Timer(index, incarnation, token))
                }
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    self.processes[index].open.remove(&request);
                }
                Action::Cancel { .. }
                | Action::Log(_)
                | Action::CloseIdle(_)
                | Action::Subscribe => {}
            }
        }
    }

    fn send(&mut self, balancer: usize, request: RequestId, upstream: UpstreamId, timeout: f64) {
        let now = self.now;
        let start = (upstream, self.listed[&upstream].since as u64);
        if let Some(sends) = self.sends.get_mut(&start) {
            sends.push(now);
        }
        let process = &mut self.processes[balancer];
        let incarnation = process.incarnation;
        let open = process.open.get_mut(&request);
        let (attempts, deadline) = open.expect("an open request");
        let attempt = *attempts;
        let left = *deadline - now;
        *attempts += 1;
        let time_limit = if timeout > 0.0 {
            timeout.min(left)
        } else {
            left
        };
        let (ending, duration) = match (self.scenario.ending)(upstream, now) {
            Ending::Ok => self.work(upstream),
            Ending::Timeout => (Ending::Timeout, f64::INFINITY),
            failure => (failure, FAILURE_TIME),
        };
        let ending = if duration > time_limit {
            Ending::Timeout
        } else {
            ending
        };
        let call = Call {
            balancer,
            incarnation,
            request,
            attempt,
            upstream,
            sent_at: now,
        };
        self.after(duration.min(time_limit), Step::Ended { call, ending });
    }

    /// An upstream takes a call, as far as it can: how that ends, and after how long.
    fn work(&mut self, to: UpstreamId) -> (Ending, f64) {
        let (now, since) = (self.now, self.listed[&to].since);
        let warm = if since > 0.0 {
            slow_start_weight(now - since)
        } else {
            1.0
        };
        let per_s = self.scenario.capacity * (self.scenario.relative_capacity)(to) * warm;
        let busy_until = self.busy_until.entry(to).or_default();
        let wait = (*busy_until - now).max(0.0);
        if wait > MAX_QUEUE {
            return (Ending::Rejected, FAILURE_TIME);
        }
        *busy_until = now + wait + 1000.0 / per_s;
        (
            Ending::Ok,
            wait + SERVICE_TIME * (0.5 + self.random_unit())
                / (self.scenario.relative_capacity)(to),
        )
    }

    fn judge(&self) -> Outcome {
        let mut worst_window = Window::default();
        let mut worst_use = 0.0;
        let mut allowed = 0.0;
        let mut sent = 0;
        for (start, sends) in &self.sends {
            for window in self.windows(start, sends) {
                if window.used() > worst_use {
                    worst_use = window.used();
                    worst_window = window;
                }
                sent += 1;
            }
            allowed += self.allowed(start);
        }
        Outcome {
            worst_use,
            worst_window,
            used: f64::from(sent) / allowed,
            served_in_slow_start: self.served_in_slow_start,
            requested: self.requested,
            served_requests: self.served_requests,
        }
    }

    /// The window that ends with each call to an upstream in slow start.
    fn windows(&self, start: &Start, sends: &[f64]) -> Vec<Window> {
        let (id, since) = (start.0, start.1 as f64);
        let capacity = self.scenario.capacity * (self.scenario.relative_capacity)(id);
        let mut first = 0;
        let mut windows = Vec::new();
        for (last, &at) in sends.iter().enumerate() {
            let age = at - since;
            if age >= SLOW_START_TIME {
                continue;
            }
            while sends[first] <= at - WINDOW {
                first += 1;
            }
            let multiple = OVERLOAD_MULTIPLE * slow_start_weight(age);
            windows.push(Window {
                calls: last + 1 - first,
                budget: budget(multiple * capacity * WINDOW / 1000.0),
                age,
            });
        }
        windows
    }

    /// Calls that the multiple allows over a slow start, until it ends or the upstream starts again.
    fn allowed(&self, start: &Start) -> f64 {
        let (id, since) = (start.0, start.1 as f64);
        let capacity = self.scenario.capacity * (self.scenario.relative_capacity)(id);
        let next = self
            .sends
            .keys()
            .find(|start| start.0 == id && start.1 as f64 > since);
        let until = next.map_or(self.scenario.span, |start| start.1 as f64);
        let span = (until - since).min(SLOW_START_TIME);
        let weights = SLOW_START_FROM + slow_start_weight(span);
        OVERLOAD_MULTIPLE * capacity * span / 1000.0 * weights / 2.0
    }
}
