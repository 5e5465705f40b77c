//! Test harness for one balancer: simulates upstream responses and independently checks each action against the rules.
#![allow(dead_code)] // each test binary uses only some of the helpers
mod rules;
pub(crate) mod slow_start;
pub(crate) mod tier;
use balancer_core::*;
use std::collections::BTreeMap;

pub(crate) fn endpoint(id: u64) -> Endpoint {
    Endpoint {
        id: UpstreamId(id),
        zone: 0,
        kind: 0,
        group: (id % 3) as u16,
        availability: Availability::Ready,
        since: 0.0,
    }
}

pub(crate) fn class(effect: Effect) -> Class {
    Class {
        objective: 500.0,
        deadline: 2000.0,
        effect,
        ..Class::default()
    }
}

pub(crate) fn tenants(shares: &[f64], quota_per_s: f64) -> Vec<Tenant> {
    shares
        .iter()
        .map(|&share| Tenant {
            share,
            quota_per_s: quota_per_s * share,
        })
        .collect()
}

/// A request as recorded by the harness.
pub(crate) struct RequestRecord {
    pub class: usize,
    pub deadline: f64,
    /// Upstream and time of each attempt.
    pub sends: Vec<(UpstreamId, f64)>,
    /// When each attempt times out.
    pub timeouts: Vec<f64>,
    /// How each attempt ended; `None` while in flight.
    pub endings: Vec<Option<Ending>>,
    /// Whether it has its final response.
    pub completed: bool,
}

impl RequestRecord {
    /// The attempt in flight with the earliest timeout.
    fn next_timeout(&self) -> Option<usize> {
        (0..self.endings.len())
            .filter(|&attempt| self.endings[attempt].is_none())
            .min_by(|&a, &b| self.timeouts[a].total_cmp(&self.timeouts[b]))
    }
}

/// A response that will arrive later.
#[derive(Clone, Copy)]
pub(crate) struct ScheduledResponse {
    pub at: f64,
    pub request: u32,
    pub attempt: usize,
    pub ending: Ending,
}

/// The next event in simulated time.
enum Next {
    Timeout { request: RequestId, attempt: usize },
    Timer { index: usize, token: u32 },
}

/// Drives a balancer and checks each action against the rules, independently of the implementation.
pub(crate) struct Harness {
    pub balancer: Balancer,
    pub settings: Settings,
    pub now: f64,
    pub listed: BTreeMap<UpstreamId, Endpoint>,
    pub requests: BTreeMap<RequestId, RequestRecord>,
    pub timers: Vec<(f64, u32)>,
    pub log: Vec<Action>,
    pub scheduled: Vec<ScheduledResponse>,
    /// The last attempt of each request for which a response was scheduled.
    last_served: BTreeMap<u32, usize>,
}

impl Harness {
    pub(crate) fn new(settings: Settings, seed: u64, endpoints: Vec<Endpoint>) -> Self {
        let balancer = Balancer::new(settings.clone(), seed, 0.0).expect("settings");
        let mut harness = Harness {
            balancer,
            settings,
            now: 0.0,
            listed: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            log: Vec::new(),
            scheduled: Vec::new(),
            last_served: BTreeMap::new(),
        };
        harness.update_endpoints(EndpointUpdate::Cached(endpoints));
        harness
    }

    pub(crate) fn update_endpoints(&mut self, update: EndpointUpdate) {
        if matches!(update, EndpointUpdate::Full(_) | EndpointUpdate::Cached(_)) {
            for endpoint in self.listed.values_mut() {
                endpoint.availability = Availability::Removed;
            }
        }
        let named = match &update {
            EndpointUpdate::Full(endpoints)
            | EndpointUpdate::Cached(endpoints)
            | EndpointUpdate::Delta(endpoints) => endpoints.clone(),
            EndpointUpdate::Failed => Vec::new(),
        };
        self.listed
            .extend(named.into_iter().map(|endpoint| (endpoint.id, endpoint)));
        self.handle(Event::EndpointUpdate(update));
    }

    pub(crate) fn request(&mut self, id: u32, class: usize, tenant: usize) -> Vec<Action> {
        let deadline = self.now + self.settings.classes[class].deadline;
        let id = RequestId(id);
        let record = RequestRecord {
            class,
            deadline,
            sends: Vec::new(),
            timeouts: Vec::new(),
            endings: Vec::new(),
            completed: false,
        };
        self.requests.insert(id, record);
        self.handle(Event::Request(Request {
            id,
            class,
            tenant,
            deadline,
            tie: u64::from(id.0),
        }))
    }

    pub(crate) fn outcome(&mut self, id: u32, attempt: usize, ending: Ending) -> Vec<Action> {
        let request = RequestId(id);
        let record = self.requests.get_mut(&request).expect("a known request");
        record.endings[attempt] = Some(ending);
        record.completed |= ending == Ending::Ok;
        let duration = self.now - record.sends[attempt].1;
        let closed = record.completed;
        self.handle(Event::Outcome {
            request,
            attempt: attempt as u32,
            ending,
            duration,
            closed,
        })
    }

    pub(crate) fn disconnect(&mut self, id: u32) -> Vec<Action> {
        self.requests
            .get_mut(&RequestId(id))
            .expect("a known request")
            .completed = true;
        self.handle(Event::ClientDisconnected(RequestId(id)))
    }

    /// Sends `per_s` requests per second for `span`, alternating between tenants. `server` gives the ending of each attempt
    /// and its duration (`None`: no response).
    pub(crate) fn traffic(
        &mut self,
        span: f64,
        per_s: f64,
        tenants: &[usize],
        server: &dyn Fn(UpstreamId) -> Option<(Ending, f64)>,
    ) {
        let until = self.now + span;
        while self.now < until {
            let id = self.requests.last_key_value().map_or(0, |(id, _)| id.0 + 1);
            self.request(id, 0, tenants[id as usize % tenants.len()]);
            self.serve(id, server);
            let next = self.now + 1000.0 / per_s;
            while let Some(response) = self.take_scheduled(next) {
                self.advance((response.at - self.now).max(0.0));
                let record = &self.requests[&RequestId(response.request)];
                if record.endings[response.attempt].is_none() {
                    self.outcome(response.request, response.attempt, response.ending);
                    self.serve(response.request, server);
                }
            }
            self.advance(next - self.now);
            // Attempts that were sent by timers get responses as well.
            let in_flight: Vec<u32> = self
                .requests
                .iter()
                .filter(|(_, record)| record.endings.last() == Some(&None))
                .map(|(id, _)| id.0)
                .collect();
            for id in in_flight {
                self.serve(id, server);
            }
        }
    }

    /// Removes the earliest response that is scheduled until a time.
    fn take_scheduled(&mut self, until: f64) -> Option<ScheduledResponse> {
        let first = (0..self.scheduled.len())
            .filter(|&index| self.scheduled[index].at <= until)
            .min_by(|&a, &b| self.scheduled[a].at.total_cmp(&self.scheduled[b].at))?;
        Some(self.scheduled.swap_remove(first))
    }

    /// Schedules the response to the latest attempt of a request.
    fn serve(&mut self, id: u32, server: &dyn Fn(UpstreamId) -> Option<(Ending, f64)>) {
        let record = &self.requests[&RequestId(id)];
        let Some(&(upstream, _)) = record.sends.last() else {
            return;
        };
        let attempt = record.sends.len() - 1;
        let in_flight = record.endings[attempt].is_none();
        if in_flight && self.last_served.insert(id, attempt) != Some(attempt) {
            if let Some((ending, after)) = server(upstream) {
                self.scheduled.push(ScheduledResponse {
                    at: self.now + after,
                    request: id,
                    attempt,
                    ending,
                });
            }
        }
    }

    /// Number of requests with an attempt since `from`, and number of attempts by upstream.
    pub(crate) fn sent_since(&self, from: f64) -> (usize, BTreeMap<UpstreamId, usize>) {
        let mut by_upstream = BTreeMap::new();
        let mut requests = 0;
        for record in self.requests.values() {
            let sends = record.sends.iter().filter(|(_, at)| *at >= from);
            requests += usize::from(sends.clone().next().is_some());
            for (upstream, _) in sends {
                *by_upstream.entry(*upstream).or_insert(0) += 1;
            }
        }
        (requests, by_upstream)
    }

    /// Advances the clock, firing timers and attempt timeouts.
    pub(crate) fn advance(&mut self, span: f64) {
        let until = self.now + span;
        while let Some((at, next)) = self.next().filter(|(at, _)| *at <= until) {
            self.now = at;
            match next {
                Next::Timeout { request, attempt } => {
                    self.outcome(request.0, attempt, Ending::Timeout);
                    let record = &self.requests[&request];
                    let has_time = at < record.deadline;
                    assert!(
                        has_time || record.completed || record.endings.contains(&None),
                        "{request:?} has no final response in time"
                    );
                }
                Next::Timer { index, token } => {
                    self.timers.remove(index);
                    self.handle(Event::Timer(token));
                }
            }
        }
        self.now = until;
    }

    /// The next event and its time; at equal times, timeouts come before timers.
    fn next(&self) -> Option<(f64, Next)> {
        let timeouts = self.requests.iter().filter_map(|(&request, record)| {
            let attempt = record.next_timeout()?;
            let at = record.timeouts[attempt].max(self.now);
            Some((at, Next::Timeout { request, attempt }))
        });
        let timers = self.timers.iter().enumerate();
        let timers = timers.map(|(index, &(at, token))| (at, Next::Timer { index, token }));
        timeouts
            .chain(timers)
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
    }

    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        for (id, record) in &self.requests {
            let unresolved = !record.completed && record.endings.iter().all(Option::is_some);
            assert!(
                !unresolved,
                "{id:?} has neither a final response nor an attempt in flight"
            );
        }
        self.log.extend(actions.iter().cloned());
        for action in &actions {
            // A cancelled attempt reports its outcome immediately.
            if let Action::Cancel { request, attempt } = *action {
                let attempt = attempt as usize;
                if self.requests[&request].endings[attempt].is_none() {
                    self.outcome(request.0, attempt, Ending::Cancelled);
                }
            }
        }
        actions
    }
}
