//! Admission control of submissions, by the decision module.
//!
//! For each service one [`Balancer`] decides: a call is a submission, a tenant is the queue, and the upstream
//! is the coordinator that schedules the service. From the outcomes of calls it learns how many it may admit.
use balancer_core::{
    Action, Availability, Balancer, Class, Ending, Event, Member, Membership, Refusal, Request,
    RequestId, Settings, Tenant, UpstreamId,
};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Maximum number of queues of one service that are tenants of their own; further ones share the last tenant.
const MAX_TENANTS: usize = 64;
/// Submissions a second that a proxy admits for each tenant before it has learned more, and the floor to which failures
/// lower them. All tenants together stay below what one scheduler takes.
const QUOTA_PER_S: f64 = 1.0;
/// Latency target of a submission, in milliseconds.
const LATENCY_TARGET_MS: f64 = 3000.0;
/// Maximum delay that a rejected client is advised, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 2000.0;

/// A call that was rejected, and when it may come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// Delay before a retry, in seconds.
    pub retry_after_s: u32,
}

impl Rejected {
    /// A rejection with the advice of the decision module, in milliseconds; rounded up to seconds, one at least.
    fn with_delay(retry_after_ms: f64) -> Rejected {
        let seconds = (retry_after_ms / 1000.0).ceil().max(1.0);
        Rejected {
            retry_after_s: seconds as u32,
        }
    }
}

/// Admission of one service.
struct ServiceAdmission {
    balancer: Balancer,
    /// The queues that are tenants of their own, in the order of the tenants.
    queues: Vec<String>,
    /// The upstream that is in force.
    upstream: Option<UpstreamId>,
    last_request: u32,
}

/// Admission for all services.
pub struct Admission {
    start: Instant,
    services: Mutex<HashMap<String, ServiceAdmission>>,
}

/// A call that was admitted. Dropped without an outcome it counts as cancelled.
pub struct Admitted {
    admission: Arc<Admission>,
    service: String,
    request: RequestId,
    admitted_at: Instant,
    has_outcome: bool,
}

impl Default for Admission {
    fn default() -> Self {
        Admission::new()
    }
}

impl Admission {
    /// Admission that has not learned anything yet.
    pub fn new() -> Admission {
        Admission {
            start: Instant::now(),
            services: Mutex::new(HashMap::new()),
        }
    }

    /// Milliseconds since the start.
    fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn services(&self) -> MutexGuard<'_, HashMap<String, ServiceAdmission>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides whether a submission goes on to the scheduler with this tag.
    ///
    /// # Errors
    /// When it is rejected.
    pub fn admit(
        self: &Arc<Self>,
        service: &str,
        queue: &str,
        scheduler: u64,
        deadline: Instant,
    ) -> Result<Admitted, Rejected> {
        let now = self.now_ms();
        let admitted_at = Instant::now();
        let remaining = deadline.saturating_duration_since(admitted_at);
        let deadline = now + remaining.as_secs_f64() * 1000.0;
        let (request, actions) = self.decide(service, queue, UpstreamId(scheduler), now, deadline);
        let mut refusal = None;
        for action in actions {
            match action {
                Action::Refuse {
                    request: refused,
                    retry_after,
                    reason,
                } if refused == request => refusal = Some((retry_after, reason)),
                other => self.perform(service, other),
            }
        }
        match refusal {
            // Where nobody is known to schedule the service, the call itself looks for somebody.
            Some((_, Refusal::NoUpstream)) | None => Ok(Admitted {
                admission: self.clone(),
                service: service.to_owned(),
                request,
                admitted_at,
                has_outcome: false,
            }),
            Some((retry_after, _)) => Err(Rejected::with_delay(retry_after)),
        }
    }

    /// Lets the decision module of a service decide on a new request. Returns the request and what to do.
    fn decide(
        &self,
        service: &str,
        queue: &str,
        upstream: UpstreamId,
        now: f64,
        deadline: f64,
    ) -> (RequestId, Vec<Action>) {
        let mut services = self.services();
        let service_admission = services
            .entry(service.to_owned())
            .or_insert_with(|| ServiceAdmission::new(now));
        let mut actions = Vec::new();
        let request =
            service_admission.handle_request(queue, upstream, now, deadline, &mut actions);
        (request, actions)
    }

    fn perform(self: &Arc<Self>, service: &str, action: Action) {
        if let Action::SetTimer { after, token } = action {
            let admission = self.clone();
            let service = service.to_owned();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_secs_f64((after / 1000.0).max(0.001))).await;
                admission.handle_event(&service, Event::Timer(token));
            });
        }
    }

    fn handle_event(self: &Arc<Self>, service: &str, event: Event) {
        let now = self.now_ms();
        let mut actions = Vec::new();
        if let Some(service_admission) = self.services().get_mut(service) {
            service_admission.balancer.handle(now, event, &mut actions);
        }
        for action in actions {
            self.perform(service, action);
        }
    }
}

impl ServiceAdmission {
    fn new(now: f64) -> ServiceAdmission {
        let settings = Settings {
            classes: vec![Class {
                objective: LATENCY_TARGET_MS,
                deadline: 2.0 * LATENCY_TARGET_MS,
                late_worth: 0.3,
                ..Class::default()
            }],
            tenants: vec![
                Tenant {
                    share: 1.0,
                    quota_per_s: QUOTA_PER_S
                };
                MAX_TENANTS
            ],
            // The call retries itself: submissions are idempotent, and only it knows where to send them.
            attempts_cap: 1,
            max_retry_after: MAX_RETRY_AFTER_MS,
            ..Settings::default()
        };
        // These settings are constant, and valid.
        let balancer = Balancer::new(settings, 1, now);
        let balancer = balancer.or_else(|_| Balancer::new(Settings::default(), 1, now));
        match balancer {
            Ok(balancer) => ServiceAdmission {
                balancer,
                queues: Vec::new(),
                upstream: None,
                last_request: 0,
            },
            Err(error) => unreachable!("{error}"),
        }
    }

    /// Hands a new request of a queue to the decision module. Returns its identity.
    fn handle_request(
        &mut self,
        queue: &str,
        upstream: UpstreamId,
        now: f64,
        deadline: f64,
        actions: &mut Vec<Action>,
    ) -> RequestId {
        self.set_upstream(upstream, now, actions);
        self.last_request = self.last_request.wrapping_add(1);
        let id = RequestId(self.last_request);
        let request = Request {
            id,
            class: 0,
            tenant: self.tenant(queue),
            deadline,
            tie: u64::from(id.0),
        };
        self.balancer.handle(now, Event::Request(request), actions);
        id
    }

    fn set_upstream(&mut self, upstream: UpstreamId, now: f64, actions: &mut Vec<Action>) {
        if self.upstream == Some(upstream) {
            return;
        }
        self.upstream = Some(upstream);
        let member = Member {
            id: upstream,
            availability: Availability::Ready,
            ..Member::default()
        };
        self.balancer.handle(
            now,
            Event::Membership(Membership::Full(vec![member])),
            actions,
        );
    }

    /// The tenant of a queue; a new one while there are any left.
    fn tenant(&mut self, queue: &str) -> usize {
        match self.queues.iter().position(|known| known == queue) {
            Some(tenant) => tenant,
            None if self.queues.len() < MAX_TENANTS => {
                self.queues.push(queue.to_owned());
                self.queues.len() - 1
            }
            None => MAX_TENANTS - 1,
        }
    }
}

impl Admitted {
    /// Reports the outcome of the call.
    pub fn end(mut self, ending: Ending) {
        self.report(ending);
    }

    fn report(&mut self, ending: Ending) {
        self.has_outcome = true;
        let duration = self.admitted_at.elapsed().as_secs_f64() * 1000.0;
        let event = Event::Outcome {
            request: self.request,
            attempt: 0,
            ending,
            duration,
            closed: true,
        };
        self.admission.handle_event(&self.service, event);
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if !self.has_outcome {
            self.report(Ending::Cancelled);
        }
    }
}
