//! Admission control of one service: a balancer with its settings, tenants and upstream.
use balancer_core::{
    Action, Availability, Balancer, Class, Endpoint, EndpointUpdate, Event, Request, RequestId,
    Settings, Tenant, UpstreamId,
};

/// Maximum number of tenants. Queues of a service beyond this number share the last tenant.
const MAX_TENANTS: usize = 64;
/// Submissions per second that a proxy admits for each tenant initially, and the minimum to which failures reduce the
/// rate. The total over all tenants is below the capacity of one scheduler.
const QUOTA_PER_S: f64 = 1.0;
/// Latency target of a submission, in milliseconds.
const LATENCY_TARGET_MS: f64 = 3000.0;
/// Maximum retry delay given to a rejected client, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 2000.0;

/// Admission control of one service.
pub(super) struct ServiceAdmission {
    balancer: Balancer,
    /// The queues that have their own tenant; the index is the tenant number.
    queues: Vec<String>,
    /// The current upstream.
    upstream: Option<UpstreamId>,
    last_request: u32,
}

impl ServiceAdmission {
    /// Creates admission control without any history.
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
            // `CoordinatorCalls` retries submissions itself, because only it knows the current scheduler.
            max_attempts: 1,
            max_retry_after: MAX_RETRY_AFTER_MS,
            ..Settings::default()
        };
        // The settings are constant and valid, so neither fallback is reached.
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

    /// Passes a new request of a queue to the balancer. Returns the ID of the request.
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

    /// Returns the tenant of a queue; a new queue is assigned a free tenant, if any is left.
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

    /// Passes an event to the balancer.
    pub(super) fn handle_event(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        self.balancer.handle(now, event, actions);
    }
}
