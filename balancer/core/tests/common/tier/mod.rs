//! Simulation of a tier: many balancers with the same servers, clients that retry, and delayed tier updates.
mod exchange;
mod measures;
mod requests;
mod schedule;
mod servers;

use self::requests::OpenRequest;
pub(crate) use self::requests::{ClientRequest, ClientResponse};
use self::schedule::{Schedule, Step};
use self::servers::{Call, Server};
use super::{class, endpoint, tenants};
use balancer_core::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Concurrent calls per server.
pub(crate) const SLOTS: usize = 4;
/// Duration of a call in milliseconds.
pub(crate) const SERVICE_TIME: f64 = 40.0;
/// Maximum queue length of a server.
const MAX_QUEUE: usize = 100;
/// Interval of tier updates in milliseconds.
const UPDATE_INTERVAL: f64 = 250.0;
/// Maximum interval in milliseconds after which a tenant's rate is read again.
const MAX_ARRIVAL_PAUSE: f64 = 100.0;

/// A balancer of the tier.
pub(crate) struct Instance {
    pub balancer: Balancer,
    pub up: bool,
    pub connected: bool,
    open: BTreeMap<RequestId, OpenRequest>,
}

/// Request rate of a tenant.
#[derive(Clone, Copy)]
pub(crate) struct TenantRate {
    /// Requests per second.
    pub per_s: f64,
    /// Fraction of requests of the first class.
    pub first_class: f64,
}

/// First arrival of a client's request.
pub(crate) struct Arrival {
    pub at: f64,
    pub tenant: usize,
}

/// An attempt that was sent.
pub(crate) struct SentAttempt {
    pub at: f64,
    pub upstream: UpstreamId,
    pub attempt: u32,
}

/// Modifies or drops a tier update on its way to an instance, by time.
pub(crate) type UpdateFilter = fn(f64, TierUpdate) -> Option<TierUpdate>;

pub(crate) struct TierSimulation {
    pub now: f64,
    pub instances: Vec<Instance>,
    servers: Vec<Server>,
    pub settings: Settings,
    pub rates: Vec<TenantRate>,
    /// Factor on the duration of a server's calls, by time; infinite if the server does not respond.
    pub slowness: Box<dyn Fn(usize, f64) -> f64>,
    /// Fraction of a server's responses that are errors, by time.
    pub error_rate: Box<dyn Fn(usize, f64) -> f64>,
    pub filter_update: UpdateFilter,
    /// All actions, in order.
    pub log: Vec<(usize, Action)>,
    /// Maximum number of retries by a client.
    pub max_retries: u32,
    pub arrivals: Vec<Arrival>,
    pub responses: Vec<ClientResponse>,
    pub sends: Vec<SentAttempt>,
    schedule: Schedule,
    calls: BTreeMap<u64, Call>,
    sequence: u64,
    rng: Pcg64Mcg,
}

pub(crate) fn settings(instances: usize) -> Settings {
    let with_value = |value| Class {
        objective: 500.0,
        deadline: 2000.0,
        value,
        late_value: 0.3,
        ..class(Effect::Free)
    };
    Settings {
        balancers: instances as u32,
        classes: vec![with_value(1.0), with_value(8.0)],
        tenants: tenants(&[0.5, 0.5], 1000.0),
        cancel: true,
        max_retry_after: 1500.0,
        cross_zone_price: 0.01,
        ..Settings::default()
    }
}

pub(crate) fn zone_of(id: UpstreamId) -> u16 {
    (id.0 % 3) as u16
}

impl TierSimulation {
    pub(crate) fn new(instances: usize, servers: usize, settings: Settings, seed: u64) -> Self {
        let mut tier = TierSimulation {
            now: 0.0,
            instances: Vec::new(),
            servers: (0..servers).map(|_| Server::default()).collect(),
            settings,
            rates: vec![
                TenantRate {
                    per_s: 0.0,
                    first_class: 0.5
                };
                2
            ],
            slowness: Box::new(|_, _| 1.0),
            error_rate: Box::new(|_, _| 0.0),
            filter_update: |_, update| Some(update),
            log: Vec::new(),
            max_retries: 3,
            responses: Vec::new(),
            arrivals: Vec::new(),
            sends: Vec::new(),
            schedule: Schedule::default(),
            calls: BTreeMap::new(),
            sequence: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        for index in 0..instances {
            tier.start_instance(index, seed);
        }
        for tenant in 0..tier.rates.len() {
            tier.after(0.0, Step::Arrival { tenant });
        }
        tier.after(UPDATE_INTERVAL, Step::TierUpdates);
        tier
    }

    fn start_instance(&mut self, index: usize, seed: u64) {
        let settings = Settings {
            index: index as u32,
            zone: (index % 3) as u16,
            ..self.settings.clone()
        };
        let balancer = Balancer::new(settings, seed * 1000 + index as u64, 0.0).expect("settings");
        self.instances.push(Instance {
            balancer,
            up: true,
            connected: true,
            open: BTreeMap::new(),
        });
        let endpoints = (0..self.servers.len() as u64).map(|id| Endpoint {
            zone: zone_of(UpstreamId(id)),
            ..endpoint(id)
        });
        let update = EndpointUpdate::Cached(endpoints.collect());
        self.handle(index, Event::EndpointUpdate(update));
    }

    /// Capacity of all servers in requests per second.
    pub(crate) fn capacity(&self) -> f64 {
        (self.servers.len() * SLOTS) as f64 * 1000.0 / SERVICE_TIME
    }

    fn random_unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn after(&mut self, span: f64, step: Step) {
        self.sequence += 1;
        self.schedule.add(self.now + span, self.sequence, step);
    }

    pub(crate) fn run(&mut self, span: f64) {
        let until = self.now + span;
        while let Some((at, step)) = self.schedule.next(until) {
            self.now = at;
            match step {
                Step::Arrival { tenant } => self.arrive(tenant),
                Step::Retry(request) => self.request(request),
                Step::Timer { instance, token } => self.handle(instance, Event::Timer(token)),
                Step::Completion { server, call } => {
                    let failed = self.random_unit() < (self.error_rate)(server, self.now);
                    self.end_call(call, if failed { Ending::Error } else { Ending::Ok });
                    self.servers[server].busy -= 1;
                    self.start_queued_calls(server);
                }
                Step::Timeout { call } => self.end_call(call, Ending::Timeout),
                Step::TierUpdates => {
                    self.exchange_updates();
                    self.after(UPDATE_INTERVAL, Step::TierUpdates);
                }
            }
        }
        self.now = until;
    }

    /// Handles the arrival of a tenant's request, or reads its rate again.
    fn arrive(&mut self, tenant: usize) {
        let rate = self.rates[tenant];
        let pause = -(1.0 - self.random_unit()).ln() * 1000.0 / rate.per_s.max(0.001);
        self.after(pause.min(MAX_ARRIVAL_PAUSE), Step::Arrival { tenant });
        if pause > MAX_ARRIVAL_PAUSE {
            return;
        }
        let class = usize::from(self.random_unit() >= rate.first_class);
        let tie = self.rng.next_u64();
        self.arrivals.push(Arrival {
            at: self.now,
            tenant,
        });
        self.request(ClientRequest {
            class,
            tenant,
            tie,
            started_at: self.now,
            retries: 0,
        });
    }

    /// Scales the capacity that an instance has learned.
    pub(crate) fn scale_learned_capacity(&mut self, instance: usize, factor: f64) {
        let mut learned = Box::new(self.instances[instance].balancer.learned(self.now));
        learned.load.capacity *= factor;
        self.handle(instance, Event::Restored { learned, age: 0.0 });
    }

    /// Kills instances; clients of their open requests see a failure.
    pub(crate) fn kill(&mut self, which: impl Fn(usize) -> bool) {
        for index in (0..self.instances.len()).filter(|&index| which(index)) {
            self.instances[index].up = false;
            let open: Vec<RequestId> = self.instances[index].open.keys().copied().collect();
            for id in open {
                self.handle_refusal(index, id, 0.0);
            }
            self.calls.retain(|_, call| call.instance != index);
        }
    }

    fn handle(&mut self, instance: usize, event: Event) {
        if !self.instances[instance].up {
            return;
        }
        let mut actions = Vec::new();
        self.instances[instance]
            .balancer
            .handle(self.now, event, &mut actions);
        for action in actions {
            self.log.push((instance, action.clone()));
            self.perform_action(instance, action);
        }
    }

    fn perform_action(&mut self, instance: usize, action: Action) {
        match action {
            Action::Send {
                request,
                upstream,
                timeout,
                ..
            } => self.send(instance, request, upstream, timeout),
            Action::SetTimer { after, token } => self.after(after, Step::Timer { instance, token }),
            Action::Refuse {
                request,
                retry_after,
                ..
            } => self.handle_refusal(instance, request, retry_after),
            Action::Fail { request } => self.handle_refusal(instance, request, 0.0),
            Action::Cancel { request, attempt } => {
                let is_cancelled = |call: &Call| {
                    call.instance == instance && call.request == request && call.attempt == attempt
                };
                let mut calls = self.calls.iter();
                let cancelled = calls.find(|(_, call)| is_cancelled(call));
                if let Some((&call, _)) = cancelled {
                    self.end_call(call, Ending::Cancelled);
                }
            }
            Action::Log(_) | Action::CloseIdle(_) | Action::Subscribe => {}
        }
    }
}
