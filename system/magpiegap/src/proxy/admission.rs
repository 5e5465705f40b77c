//! Admission control of submissions, by the decision module.
//!
//! For each service one [`balancer_core::Balancer`] decides: a call is a submission, a tenant is the queue, and the upstream
//! is the coordinator that schedules the service. From the outcomes of calls it learns how many it may admit.
use super::service_admission::ServiceAdmission;
use balancer_core::{Action, Ending, Event, Refusal, RequestId, UpstreamId};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

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
            service_admission.handle_event(now, event, &mut actions);
        }
        for action in actions {
            self.perform(service, action);
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
