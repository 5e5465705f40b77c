//! Calls to the coordinators, with retries while they do no harm.
use super::cluster_watch::ClusterWatch;
use crate::endpoint::{self, CallError};
use magpiegap_protocol::{CoordinatorRequest, CoordinatorResponse, Submission};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

/// Timeout of a call to one coordinator, beside the time that the request may take on its way.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// The slowest link that is allowed for, in bytes per millisecond: 128 kbit/s.
const MIN_LINK_BYTES_PER_MS: u64 = 16;
/// Timeout of a call to one coordinator for a read that another one can serve as well.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before a retry, unless something else is known of the cluster before.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// A submission that could be sent to nobody is rejected after this time.
const UNSENT_TIMEOUT: Duration = Duration::from_millis(900);

/// The timeout of a call: as much longer as a slow link takes for a large request, so that it is not broken off and sent
/// again and again.
fn call_timeout(request: &CoordinatorRequest) -> Duration {
    let bytes = match request {
        CoordinatorRequest::Submit(submission) => submission.estimated_bytes() as u64,
        _ => 0,
    };
    CALL_TIMEOUT + Duration::from_millis(bytes / MIN_LINK_BYTES_PER_MS)
}

/// The outcome of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SubmitOutcome {
    /// The job is accepted.
    Accepted,
    /// There is no capacity; the job is not accepted.
    Full,
    /// It could be sent to nobody; the job is not accepted.
    Unsent,
    /// It isn't known whether the job is accepted.
    Unknown,
}

/// Calls to the coordinators.
#[derive(Clone)]
pub(super) struct CoordinatorCalls {
    client: reqwest::Client,
    port: u16,
    cluster: Arc<ClusterWatch>,
}

impl CoordinatorCalls {
    /// Calls to the coordinators of a cluster, which all listen on `port`.
    pub(super) fn new(
        client: reqwest::Client,
        port: u16,
        cluster: Arc<ClusterWatch>,
    ) -> CoordinatorCalls {
        CoordinatorCalls {
            client,
            port,
            cluster,
        }
    }

    async fn call(
        &self,
        address: u32,
        request: &CoordinatorRequest,
        deadline: Instant,
    ) -> Result<CoordinatorResponse, CallError> {
        let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::from(address)), self.port);
        let remaining = deadline.saturating_duration_since(Instant::now());
        let timeout = remaining.min(call_timeout(request));
        endpoint::call(&self.client, address, request, timeout).await
    }

    /// Waits until a coordinator other than `holder` schedules a service.
    async fn scheduler_moved(&self, service: &str, holder: u32) {
        let has_moved = |scheduler: Option<u32>| scheduler.is_some_and(|other| other != holder);
        self.cluster
            .until(|info| has_moved(info.scheduler(service)))
            .await;
    }

    /// Calls the scheduler of a service. The call is given up as soon as another coordinator schedules the service.
    async fn call_scheduler(
        &self,
        service: &str,
        holder: u32,
        request: &CoordinatorRequest,
        deadline: Instant,
    ) -> Result<CoordinatorResponse, CallError> {
        let call = self.call(holder, request, deadline);
        let moved = self.scheduler_moved(service, holder);
        tokio::select! {
            response = call => response,
            () = moved => Err(CallError::Unanswered),
        }
    }

    /// Submits a job. Submissions are idempotent: the same job may be submitted again, and remains one.
    pub(super) async fn submit(&self, submission: Submission, deadline: Instant) -> SubmitOutcome {
        let service = submission.service.clone();
        let request = CoordinatorRequest::Submit(Box::new(submission));
        let unsent_deadline = (Instant::now() + UNSENT_TIMEOUT).min(deadline);
        let mut was_sent = false;
        loop {
            let info = self.cluster.current();
            if let Some(holder) = info.scheduler(&service) {
                let call = self.call_scheduler(&service, holder, &request, deadline);
                match call.await {
                    Ok(CoordinatorResponse::Accepted) => return SubmitOutcome::Accepted,
                    Ok(CoordinatorResponse::NoCapacity) if !was_sent => return SubmitOutcome::Full,
                    Ok(CoordinatorResponse::NotServing) | Err(CallError::NotSent) => {}
                    Ok(_) | Err(CallError::Unanswered) => was_sent = true,
                }
            }
            let retry_until = if was_sent { deadline } else { unsent_deadline };
            if Instant::now() + RETRY_DELAY >= retry_until {
                return if was_sent {
                    SubmitOutcome::Unknown
                } else {
                    SubmitOutcome::Unsent
                };
            }
            self.cluster.changed(&info, RETRY_DELAY).await;
        }
    }

    /// Calls the coordinators in turn, the tail first, until one can respond. `None`: none could before the deadline.
    pub(super) async fn read(
        &self,
        request: &CoordinatorRequest,
        deadline: Instant,
    ) -> Option<CoordinatorResponse> {
        loop {
            let info = self.cluster.current();
            for reader in info.readers() {
                let read_deadline = deadline.min(Instant::now() + READ_TIMEOUT);
                match self.call(reader, request, read_deadline).await {
                    Ok(CoordinatorResponse::NotServing | CoordinatorResponse::Unknown) | Err(_) => {
                    }
                    Ok(response) => return Some(response),
                }
                if Instant::now() >= deadline {
                    return None;
                }
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return None;
            }
            self.cluster.changed(&info, RETRY_DELAY).await;
        }
    }
}
