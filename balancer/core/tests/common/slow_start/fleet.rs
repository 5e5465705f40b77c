//! Simulation of balancers, upstreams and clients.
use super::events::{Call, ScheduledStep, Step};
use super::scenario::Scenario;
use super::*;
use balancer_core::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
/// Mean response time in milliseconds.
const SERVICE_TIME: f64 = 50.0;
/// Duration of a failed connection or a rejection in milliseconds.
const FAILURE_TIME: f64 = 5.0;
/// Queueing delay in milliseconds beyond which an upstream rejects calls.
const MAX_QUEUE: f64 = 300.0;

/// One start of an upstream, and its time in milliseconds.
pub(super) type Start = (UpstreamId, u64);

/// A balancer process, its number of earlier restarts, and the attempts and deadlines of its open requests.
pub(super) struct Process {
    pub(super) balancer: Balancer,
    pub(super) incarnation: u64,
    pub(super) open: BTreeMap<RequestId, (u32, f64)>,
}

pub(super) struct Fleet {
    pub(super) scenario: Scenario,
    pub(super) now: f64,
    pub(super) sequence: u64,
    pub(super) rng: Pcg64Mcg,
    pub(super) schedule: BinaryHeap<Reverse<ScheduledStep>>,
    pub(super) processes: Vec<Process>,
    pub(super) listed: BTreeMap<UpstreamId, Endpoint>,
    pub(super) weights: Vec<f64>,
    /// Send times of calls to each upstream since the beginning of its slow start.
    pub(super) sends: BTreeMap<Start, Vec<f64>>,
    /// Times of calls that each upstream served within the last second.
    pub(super) recent: BTreeMap<UpstreamId, VecDeque<f64>>,
    /// When each upstream will have completed all its calls.
    pub(super) busy_until: BTreeMap<UpstreamId, f64>,
    pub(super) served_in_slow_start: usize,
    pub(super) requested: usize,
    pub(super) served_requests: usize,
}

impl Fleet {
    pub(super) fn new(scenario: Scenario) -> Self {
        let endpoints =
            (1..=scenario.upstreams).map(|id| (UpstreamId(id), scenario.listed(id, 0.0)));
        let weights = (0..scenario.balancers).map(scenario.weight).collect();
        let mut fleet = Fleet {
            now: 0.0,
            sequence: 0,
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
        fleet.after(100.0, Step::BalancerRestart);
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
            classes: vec![crate::common::class(Effect::Free)],
            tenants: crate::common::tenants(&[1.0], quotas),
            slow_start_from: SLOW_START_FROM,
            slow_start_time: SLOW_START_TIME,
            overload_multiple: OVERLOAD_MULTIPLE,
            ..Settings::default()
        };
        let seed = (scenario.seed * 1000 + index as u64) * 1000 + incarnation;
        Balancer::new(settings, seed, self.now).expect("settings")
    }

    /// Sends the endpoint list to a new process.
    fn send_list(&mut self, index: usize) {
        let endpoints = self.listed.values().cloned().collect();
        self.event(
            index,
            Event::EndpointUpdate(EndpointUpdate::Cached(endpoints)),
        );
    }

    fn after(&mut self, span: f64, step: Step) {
        self.sequence += 1;
        self.schedule
            .push(Reverse(ScheduledStep(self.now + span, self.sequence, step)));
    }

    fn random_unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub(super) fn run(&mut self) {
        while let Some(Reverse(ScheduledStep(at, _, step))) = self
            .schedule
            .pop()
            .filter(|next| next.0 .0 <= self.scenario.span)
        {
            self.now = at;
            match step {
                Step::Arrival => self.arrival(),
                Step::Timer(index, incarnation, token)
                    if self.processes[index].incarnation == incarnation =>
                {
                    self.event(index, Event::Timer(token));
                }
                Step::Timer(..) => {}
                Step::CallEnd { call, ending } => self.end_call(&call, ending),
                Step::BalancerRestart => self.restart_balancers(),
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
        for endpoint in &updates {
            if self
                .listed
                .get(&endpoint.id)
                .is_none_or(|known| known.since != endpoint.since)
            {
                self.sends
                    .insert((endpoint.id, endpoint.since as u64), Vec::new());
            }
            self.listed.insert(endpoint.id, endpoint.clone());
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
        self.after(100.0, Step::BalancerRestart);
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
        self.sequence += 1;
        let id = RequestId(self.sequence as u32);
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
                tie: self.sequence,
            }),
        );
    }

    /// Completes a call, if its balancer process still runs and waits for it.
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

    /// Counts a served call and reports the upstream's request rate.
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
            Ending::Ok => self.serve_call(upstream),
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
        self.after(duration.min(time_limit), Step::CallEnd { call, ending });
    }

    /// Executes a call at an upstream; returns its ending and duration.
    fn serve_call(&mut self, to: UpstreamId) -> (Ending, f64) {
        let (now, since) = (self.now, self.listed[&to].since);
        let weight = if since > 0.0 {
            slow_start_weight(now - since)
        } else {
            1.0
        };
        let per_s = self.scenario.capacity * (self.scenario.relative_capacity)(to) * weight;
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
}
