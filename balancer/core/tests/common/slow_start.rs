//! Many balancers before upstreams of which some start cold, on injected time: counts what a cold one is sent.
use balancer_core::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// The window in which calls to a cold upstream are counted.
pub(crate) const WINDOW: f64 = 3000.0;
/// When upstreams restart; what balancers learn before is learned by then.
pub(crate) const COLD_AT: f64 = 5000.0;
pub(crate) const RAMP: f64 = 20_000.0;
pub(crate) const COLD_FROM: f64 = 0.15;
pub(crate) const MULTIPLE: f64 = 2.5;
/// What an answer takes on average.
const ANSWER: f64 = 50.0;
/// What a failed connection takes, and a refusal.
const FAILURE: f64 = 5.0;
/// An upstream refuses calls beyond this much work ahead of them.
const QUEUE: f64 = 300.0;

/// A day: the fleet, what clients ask for and what goes wrong.
pub(crate) struct Day {
    /// Balancers that run, and how many the settings name.
    pub balancers: usize,
    pub stated: usize,
    pub upstreams: u64,
    /// The first so many upstreams restart at [`COLD_AT`].
    pub cold: u64,
    /// Calls a second that a warm upstream carries.
    pub carries: f64,
    /// Calls a second that clients make, as a part of what all upstreams carry.
    pub load: fn(f64) -> f64,
    /// How much of the traffic a balancer gets beside the others.
    pub weight: fn(usize) -> f64,
    /// How calls end, by upstream and time.
    pub ending: fn(UpstreamId, f64) -> Ending,
    /// Whether a balancer restarts then; asked every 100 ms.
    pub restarts: fn(usize, f64) -> bool,
    /// Changes of the list but the cold start itself: told to all at that time.
    pub news: Vec<(f64, Vec<Endpoint>)>,
    pub stage: u32,
    /// The part of what the upstreams carry that the quotas state.
    pub quotas: f64,
    /// Upstreams say how many requests a second they serve.
    pub says_served: bool,
    /// Capacity of an upstream beside the others of the fleet.
    pub size: fn(UpstreamId) -> f64,
    /// The zone of an upstream, of three; balancers run in all of them alike.
    pub zone: fn(UpstreamId) -> u16,
    /// Calls prefer the own zone.
    pub near: bool,
    pub span: f64,
    pub seed: u64,
}

impl Day {
    pub(crate) fn new(balancers: usize, upstreams: u64, carries: f64, seed: u64) -> Self {
        Day {
            balancers,
            stated: balancers,
            upstreams,
            cold: 1,
            carries,
            load: |_| 1.0,
            weight: |_| 1.0,
            ending: |_, _| Ending::Ok,
            restarts: |_, _| false,
            news: Vec::new(),
            stage: 0,
            quotas: 1.0,
            says_served: false,
            size: |_| 1.0,
            zone: |_| 0,
            near: false,
            span: COLD_AT + RAMP,
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

/// What was sent to the cold upstreams.
pub(crate) struct Outcome {
    /// The worst window: calls in it as a part of its budget.
    pub worst: f64,
    /// Calls, budget and time of that window.
    pub worst_window: (usize, f64, f64),
    /// Calls sent to cold upstreams, as a part of what the multiple allows over the ramp.
    pub used: f64,
    /// Calls that cold upstreams served.
    pub served: usize,
    /// Clients' requests since the cold start, and those that were answered.
    pub asked: usize,
    pub answered: usize,
}

enum Due {
    Arrival,
    Timer(usize, u64, u32),
    Ended {
        balancer: usize,
        life: u64,
        request: RequestId,
        attempt: u32,
        to: UpstreamId,
        sent: f64,
        ending: Ending,
    },
    Restarts,
    ColdStart,
    News(usize),
}

struct At(f64, u64, Due);
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

/// A start of an upstream: which, and the millisecond.
type Start = (UpstreamId, u64);

/// A balancer, how many processes it had before, and the open attempt of each of its requests.
struct Process {
    balancer: Balancer,
    life: u64,
    open: BTreeMap<RequestId, (u32, f64)>,
}

struct Fleet {
    day: Day,
    now: f64,
    number: u64,
    rng: Pcg64Mcg,
    due: BinaryHeap<Reverse<At>>,
    processes: Vec<Process>,
    listed: BTreeMap<UpstreamId, Endpoint>,
    weights: Vec<f64>,
    /// When calls were sent to each upstream since it started cold.
    sends: BTreeMap<Start, Vec<f64>>,
    /// Calls that each upstream served within the last second.
    recent: BTreeMap<UpstreamId, VecDeque<f64>>,
    /// When each upstream has done all that it was sent.
    busy_until: BTreeMap<UpstreamId, f64>,
    served: usize,
    asked: usize,
    answered: usize,
}

/// The least that an upstream can do at this age, as a part of its full capacity.
pub(crate) fn warmth(age: f64) -> f64 {
    (COLD_FROM + (1.0 - COLD_FROM) * age / RAMP).min(1.0)
}

/// The most calls that may be sent within a window in which the settings allow `n`.
pub(crate) fn budget(n: f64) -> f64 {
    let slack = if n < 30.0 { 3.0 } else { 2.0 };
    n + slack * n.sqrt() + slack
}

/// Plays a day and counts the calls of every sliding window against the budget at its end.
pub(crate) fn play(day: Day) -> Outcome {
    let mut fleet = Fleet::new(day);
    fleet.run();
    fleet.judge()
}

impl Fleet {
    fn new(day: Day) -> Self {
        let endpoints = (1..=day.upstreams).map(|id| (UpstreamId(id), day.listed(id, 0.0)));
        let weights = (0..day.balancers).map(day.weight).collect();
        let mut fleet = Fleet {
            now: 0.0,
            number: 0,
            rng: Pcg64Mcg::seed_from_u64(day.seed),
            due: BinaryHeap::new(),
            processes: Vec::new(),
            listed: endpoints.collect(),
            weights,
            sends: BTreeMap::new(),
            recent: BTreeMap::new(),
            busy_until: BTreeMap::new(),
            served: 0,
            asked: 0,
            answered: 0,
            day,
        };
        for index in 0..fleet.day.balancers {
            let balancer = fleet.process(index, 0);
            fleet.processes.push(Process {
                balancer,
                life: 0,
                open: BTreeMap::new(),
            });
            fleet.tell(index);
        }
        fleet.after(0.0, Due::Arrival);
        fleet.after(100.0, Due::Restarts);
        fleet.after(COLD_AT, Due::ColdStart);
        let times: Vec<f64> = fleet.day.news.iter().map(|news| news.0).collect();
        times
            .into_iter()
            .enumerate()
            .for_each(|(n, at)| fleet.after(at, Due::News(n)));
        fleet
    }

    fn process(&self, index: usize, life: u64) -> Balancer {
        let day = &self.day;
        let quotas = day.upstreams as f64 * day.carries * day.quotas;
        let settings = Settings {
            index: index as u32,
            balancers: day.stated as u32,
            stage: day.stage,
            zone: (index % 3) as u16,
            cross_zone_price: if day.near { 0.2 } else { 0.0 },
            classes: vec![super::class(Effect::Free)],
            tenants: super::tenants(&[1.0], quotas),
            slow_start_from: COLD_FROM,
            slow_start_time: RAMP,
            overload_multiple: MULTIPLE,
            ..Settings::default()
        };
        let seed = (day.seed * 1000 + index as u64) * 1000 + life;
        Balancer::new(settings, seed, self.now).expect("settings")
    }

    /// A new process learns its list.
    fn tell(&mut self, index: usize) {
        let list = self.listed.values().cloned().collect();
        self.event(index, Event::EndpointUpdate(EndpointUpdate::Cached(list)));
    }

    fn after(&mut self, span: f64, due: Due) {
        self.number += 1;
        self.due
            .push(Reverse(At(self.now + span, self.number, due)));
    }

    fn unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn run(&mut self) {
        while let Some(Reverse(At(at, _, due))) =
            self.due.pop().filter(|due| due.0 .0 <= self.day.span)
        {
            self.now = at;
            match due {
                Due::Arrival => self.arrival(),
                Due::Timer(index, life, token) if self.processes[index].life == life => {
                    self.event(index, Event::Timer(token));
                }
                Due::Timer(..) => {}
                Due::Ended {
                    balancer,
                    life,
                    request,
                    attempt,
                    to,
                    sent,
                    ending,
                } => {
                    let open = self.processes[balancer].open.get(&request);
                    let out = open.is_some_and(|&(sends, _)| sends == attempt + 1);
                    if self.processes[balancer].life == life && out {
                        self.ended(balancer, (request, attempt), to, ending, sent);
                    }
                }
                Due::Restarts => {
                    for index in 0..self.processes.len() {
                        if (self.day.restarts)(index, self.now) {
                            let life = self.processes[index].life + 1;
                            let balancer = self.process(index, life);
                            self.processes[index] = Process {
                                balancer,
                                life,
                                open: BTreeMap::new(),
                            };
                            self.tell(index);
                        }
                    }
                    self.after(100.0, Due::Restarts);
                }
                Due::ColdStart => {
                    let cold = (1..=self.day.cold)
                        .map(|id| self.day.listed(id, self.now))
                        .collect();
                    self.list(cold);
                }
                Due::News(n) => {
                    let news = self.day.news[n].1.clone();
                    self.list(news);
                }
            }
        }
    }

    fn list(&mut self, news: Vec<Endpoint>) {
        for m in &news {
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
                Event::EndpointUpdate(EndpointUpdate::Delta(news.clone())),
            );
        }
    }

    fn arrival(&mut self) {
        let rate = (self.day.load)(self.now) * self.day.carries * self.day.upstreams as f64;
        let pause = -(1.0 - self.unit()).ln() * 1000.0 / rate.max(0.001);
        self.after(pause.min(50.0), Due::Arrival);
        if pause > 50.0 {
            return;
        }
        let mut at = self.unit() * self.weights.iter().sum::<f64>();
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
        self.asked += usize::from(self.now >= COLD_AT);
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

    fn ended(
        &mut self,
        index: usize,
        of: (RequestId, u32),
        to: UpstreamId,
        ending: Ending,
        sent: f64,
    ) {
        let ((request, attempt), closed) = (of, ending == Ending::Ok);
        if closed {
            self.processes[index].open.remove(&request);
            self.answered += usize::from(self.now >= COLD_AT);
            let young = self.listed[&to].since > 0.0 && self.now - self.listed[&to].since < RAMP;
            self.served += usize::from(young);
            if self.day.says_served {
                let now = self.now;
                let recent = self.recent.entry(to).or_default();
                recent.push_back(now);
                while recent.front().is_some_and(|&at| at <= now - 1000.0) {
                    recent.pop_front();
                }
                let per_s = recent.len() as f64;
                self.event(
                    index,
                    Event::Served {
                        upstream: to,
                        per_s,
                    },
                );
            }
        }
        let duration = self.now - sent;
        self.event(
            index,
            Event::Outcome {
                request,
                attempt,
                ending,
                duration,
                closed,
            },
        );
    }

    fn event(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        self.processes[index]
            .balancer
            .handle(self.now, event, &mut actions);
        let life = self.processes[index].life;
        for action in actions {
            match action {
                Action::Send {
                    request,
                    upstream,
                    timeout,
                    ..
                } => self.send(index, request, upstream, timeout),
                Action::SetTimer { after, token } => {
                    self.after(after, Due::Timer(index, life, token))
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

    fn send(&mut self, balancer: usize, request: RequestId, to: UpstreamId, timeout: f64) {
        let now = self.now;
        let start = (to, self.listed[&to].since as u64);
        if let Some(sends) = self.sends.get_mut(&start) {
            sends.push(now);
        }
        let life = self.processes[balancer].life;
        let (sends, deadline) = self.processes[balancer]
            .open
            .get_mut(&request)
            .expect("an open request");
        let (attempt, left) = (*sends, *deadline - now);
        *sends += 1;
        let patience = if timeout > 0.0 {
            timeout.min(left)
        } else {
            left
        };
        let (ending, takes) = match (self.day.ending)(to, now) {
            Ending::Ok => self.work(to),
            Ending::Timeout => (Ending::Timeout, f64::INFINITY),
            bad => (bad, FAILURE),
        };
        let ending = if takes > patience {
            Ending::Timeout
        } else {
            ending
        };
        let due = Due::Ended {
            balancer,
            life,
            request,
            attempt,
            to,
            sent: now,
            ending,
        };
        self.after(takes.min(patience), due);
    }

    /// An upstream takes a call, as far as it can: how that ends, and after how long.
    fn work(&mut self, to: UpstreamId) -> (Ending, f64) {
        let (now, since) = (self.now, self.listed[&to].since);
        let warm = if since > 0.0 {
            warmth(now - since)
        } else {
            1.0
        };
        let per_s = self.day.carries * (self.day.size)(to) * warm;
        let busy_until = self.busy_until.entry(to).or_default();
        let wait = (*busy_until - now).max(0.0);
        if wait > QUEUE {
            return (Ending::Full, FAILURE);
        }
        *busy_until = now + wait + 1000.0 / per_s;
        (
            Ending::Ok,
            wait + ANSWER * (0.5 + self.unit()) / (self.day.size)(to),
        )
    }

    fn judge(&self) -> Outcome {
        let mut outcome = Outcome {
            worst: 0.0,
            worst_window: (0, 0.0, 0.0),
            used: 0.0,
            served: self.served,
            asked: self.asked,
            answered: self.answered,
        };
        let (mut allowed, mut sent) = (0.0, 0);
        for ((id, since), sends) in &self.sends {
            let since = *since as f64;
            let carries = self.day.carries * (self.day.size)(*id);
            let mut first = 0;
            for (last, &at) in sends.iter().enumerate().filter(|s| s.1 - since < RAMP) {
                while sends[first] <= at - WINDOW {
                    first += 1;
                }
                let calls = last + 1 - first;
                let bears = budget(MULTIPLE * warmth(at - since) * carries * WINDOW / 1000.0);
                if calls as f64 / bears > outcome.worst {
                    outcome.worst = calls as f64 / bears;
                    outcome.worst_window = (calls, bears, at - since);
                }
                sent += 1;
            }
            let next = self
                .sends
                .keys()
                .find(|start| start.0 == *id && start.1 as f64 > since);
            let until = next.map_or(self.day.span, |start| start.1 as f64);
            let cold_for = (until - since).min(RAMP);
            allowed +=
                MULTIPLE * carries * cold_for / 1000.0 * (COLD_FROM + warmth(cold_for)) / 2.0;
        }
        outcome.used = f64::from(sent) / allowed;
        outcome
    }
}
