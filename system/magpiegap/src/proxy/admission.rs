//! Admission at the queues' entrance, by the decision module.
//!
//! For each service one [`Balancer`] decides: a call is a job that is handed in, a tenant is the queue, and the
//! upstream is the coordinator that schedules the service. What comes of a call teaches it how many it may admit.
use balancer_core::{
    Action, Availability, Balancer, Class, Ending, Endpoint, EndpointUpdate, Event, Refusal,
    Request, RequestId, Settings, Tenant, UpstreamId,
};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Queues of one service that are told apart; further ones share the last place.
const QUEUES: usize = 64;
/// Jobs a second of each queue's place that a proxy may hand in before it has learned more, and the measure of the
/// least to which failures bring it down. All places together stay below what one scheduler takes.
const QUOTA_PER_S: f64 = 1.0;
/// Within this time the answer to a job that is handed in is in time, in milliseconds.
const OBJECTIVE_MS: f64 = 3000.0;
/// Longest advice to a refused client, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 2000.0;

/// Why a call is turned away, and when it may come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnedAway {
    /// In whole seconds.
    pub retry_after_s: u32,
}

/// One service's admission.
struct Gate {
    balancer: Balancer,
    /// The places of the queues.
    queues: Vec<String>,
    /// The upstream that was told last.
    upstream: Option<UpstreamId>,
    next_request: u32,
}

/// Admission for all services.
pub struct Admission {
    start: Instant,
    gates: Mutex<HashMap<String, Gate>>,
}

/// A call that was admitted. Without an outcome it counts as broken off.
pub struct Admitted {
    admission: Arc<Admission>,
    service: String,
    request: RequestId,
    since: Instant,
    ended: bool,
}

impl Default for Admission {
    fn default() -> Self {
        Admission::new()
    }
}

impl Admission {
    /// Nothing is learned yet.
    pub fn new() -> Admission {
        Admission {
            start: Instant::now(),
            gates: Mutex::new(HashMap::new()),
        }
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn gates(&self) -> MutexGuard<'_, HashMap<String, Gate>> {
        self.gates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides whether a job is handed on to the coordinator at an address.
    ///
    /// # Errors
    /// When it is turned away.
    pub fn admit(
        self: &Arc<Self>,
        service: &str,
        queue: &str,
        scheduler: u64,
        deadline: Instant,
    ) -> Result<Admitted, TurnedAway> {
        let now = self.now();
        let since = Instant::now();
        let deadline = now + deadline.saturating_duration_since(since).as_secs_f64() * 1000.0;
        let mut gates = self.gates();
        let gate = gates
            .entry(service.to_owned())
            .or_insert_with(|| Gate::new(now));
        let mut actions = Vec::new();
        gate.point_to(UpstreamId(scheduler), now, &mut actions);
        gate.next_request = gate.next_request.wrapping_add(1);
        let id = RequestId(gate.next_request);
        let tenant = gate.tenant(queue);
        let request = Request {
            id,
            class: 0,
            tenant,
            deadline,
            tie: u64::from(id.0),
        };
        gate.balancer
            .handle(now, Event::Request(request), &mut actions);
        drop(gates);
        let mut refused = None;
        for action in actions {
            match action {
                Action::Refuse {
                    request,
                    retry_after,
                    reason,
                } if request == id => {
                    refused = Some((retry_after, reason));
                }
                other => self.act(service, other),
            }
        }
        match refused {
            // Where nobody is known to schedule the service, the call itself looks for somebody.
            Some((_, Refusal::NoUpstream)) | None => Ok(Admitted {
                admission: self.clone(),
                service: service.to_owned(),
                request: id,
                since,
                ended: false,
            }),
            Some((retry_after, _)) => {
                let seconds = (retry_after / 1000.0).ceil().max(1.0);
                Err(TurnedAway {
                    retry_after_s: seconds as u32,
                })
            }
        }
    }

    fn act(self: &Arc<Self>, service: &str, action: Action) {
        if let Action::SetTimer { after, token } = action {
            let admission = self.clone();
            let service = service.to_owned();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_secs_f64((after / 1000.0).max(0.001))).await;
                admission.tell(&service, Event::Timer(token));
            });
        }
    }

    fn tell(self: &Arc<Self>, service: &str, event: Event) {
        let now = self.now();
        let mut actions = Vec::new();
        if let Some(gate) = self.gates().get_mut(service) {
            gate.balancer.handle(now, event, &mut actions);
        }
        for action in actions {
            self.act(service, action);
        }
    }
}

impl Gate {
    fn new(now: f64) -> Gate {
        let settings = Settings {
            classes: vec![Class {
                objective: OBJECTIVE_MS,
                deadline: 2.0 * OBJECTIVE_MS,
                late_value: 0.3,
                ..Class::default()
            }],
            tenants: vec![
                Tenant {
                    share: 1.0,
                    quota_per_s: QUOTA_PER_S
                };
                QUEUES
            ],
            // The call tries again itself: the same job may be handed in twice, and only it knows where to.
            max_attempts: 1,
            max_retry_after: MAX_RETRY_AFTER_MS,
            ..Settings::default()
        };
        // These settings are constant, and valid.
        let balancer = Balancer::new(settings, 1, now);
        let balancer = balancer.or_else(|_| Balancer::new(Settings::default(), 1, now));
        match balancer {
            Ok(balancer) => Gate {
                balancer,
                queues: Vec::new(),
                upstream: None,
                next_request: 0,
            },
            Err(error) => unreachable!("{error}"),
        }
    }

    fn point_to(&mut self, upstream: UpstreamId, now: f64, actions: &mut Vec<Action>) {
        if self.upstream == Some(upstream) {
            return;
        }
        self.upstream = Some(upstream);
        let member = Endpoint {
            id: upstream,
            availability: Availability::Ready,
            ..Endpoint::default()
        };
        self.balancer.handle(
            now,
            Event::EndpointUpdate(EndpointUpdate::Full(vec![member])),
            actions,
        );
    }

    fn tenant(&mut self, queue: &str) -> usize {
        match self.queues.iter().position(|known| known == queue) {
            Some(place) => place,
            None if self.queues.len() < QUEUES => {
                self.queues.push(queue.to_owned());
                self.queues.len() - 1
            }
            None => QUEUES - 1,
        }
    }
}

impl Admitted {
    /// What came of the call.
    pub fn end(mut self, ending: Ending) {
        self.report(ending);
    }

    fn report(&mut self, ending: Ending) {
        self.ended = true;
        let duration = self.since.elapsed().as_secs_f64() * 1000.0;
        let event = Event::Outcome {
            request: self.request,
            attempt: 0,
            ending,
            duration,
            closed: true,
        };
        self.admission.tell(&self.service, event);
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if !self.ended {
            self.report(Ending::Cancelled);
        }
    }
}
