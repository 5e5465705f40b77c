//! Admission of one service: the decision module with its settings, tenants and upstream.
use balancer_core::{
    Action, Availability, Balancer, Class, Endpoint, EndpointUpdate, Event, Request, RequestId,
    Settings, Tenant, UpstreamId,
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

/// Admission of one service.
pub(super) struct ServiceAdmission {
    balancer: Balancer,
    /// The queues that are tenants of their own, in the order of the tenants.
    queues: Vec<String>,
    /// The upstream that is in force.
    upstream: Option<UpstreamId>,
    last_request: u32,
}

impl ServiceAdmission {
    /// Admission that has not learned anything yet.
    pub(super) fn new(now: f64) -> ServiceAdmission {
        let settings = Settings {
            classes: vec![Class {
                objective: LATENCY_TARGET_MS,
                deadline: 2.0 * LATENCY_TARGET_MS,
                late_value: 0.3,
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
            max_attempts: 1,
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
    pub(super) fn handle_request(
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

    /// Hands an event to the decision module.
    pub(super) fn handle_event(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        self.balancer.handle(now, event, actions);
    }
}
