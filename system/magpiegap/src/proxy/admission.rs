//! Admission control of job submissions, based on the `balancer_core` crate.
//!
//! Each service has one [`balancer_core::Balancer`]. A submission is a request, a queue is a tenant, and the coordinator
//! that schedules the service is the only upstream. The balancer derives its admission limit from the outcomes of calls.
use super::service_admission::ServiceAdmission;
use balancer_core::{Action, Ending, Event, Refusal, RequestId, UpstreamId};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// The rejection of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// Delay after which the client may retry, in seconds.
    pub retry_after_s: u32,
}

impl Rejected {
    /// Creates a rejection. The delay in milliseconds is rounded up to seconds, with a minimum of one.
    fn with_delay(retry_after_ms: f64) -> Rejected {
        let seconds = (retry_after_ms / 1000.0).ceil().max(1.0);
        Rejected {
            retry_after_s: seconds as u32,
        }
    }
}

/// Admission control for all services.
pub struct Admission {
    start: Instant,
    services: Mutex<HashMap<String, ServiceAdmission>>,
}

/// An admitted submission. It counts as cancelled if it is dropped without an outcome.
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
    /// Creates admission control without any history.
    pub fn new() -> Admission {
        Admission {
            start: Instant::now(),
            services: Mutex::new(HashMap::new()),
        }
    }

    /// Milliseconds since this instance was created.
    fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn services(&self) -> MutexGuard<'_, HashMap<String, ServiceAdmission>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides whether to admit a submission. `scheduler` is the tag that identifies the current scheduler.
    ///
    /// # Errors
    /// When the submission is rejected.
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
            // Without a known scheduler the submission is admitted: the call itself waits for a scheduler.
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

    /// Passes a new request to the balancer of a service. Returns the request's ID and the actions to perform.
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
    /// Reports the outcome of the submission.
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
