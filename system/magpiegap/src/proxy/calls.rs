//! Calls to coordinators, with retries where they are safe.
use super::cluster_watch::ClusterWatch;
use crate::endpoint::{self, CallError};
use magpiegap_protocol::{CoordinatorRequest, CoordinatorResponse, Submission};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

/// Timeout of a call to one coordinator, excluding the transfer time of a large request.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// The slowest link for which timeouts are dimensioned, in bytes per millisecond (128 kbit/s).
const MIN_LINK_BYTES_PER_MS: u64 = 16;
/// Timeout of a read from one coordinator; other coordinators can serve the same read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum delay before a retry; a change of the cluster information triggers the retry earlier.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// A submission that could not be sent to any coordinator is rejected after this time.
const NOT_SENT_TIMEOUT: Duration = Duration::from_millis(900);

/// The timeout of a call. It includes the transfer time of a large request over a slow link; otherwise the transfer would
/// time out and be restarted repeatedly.
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
    /// The job was accepted.
    Accepted,
    /// The job was not accepted: there is no capacity.
    NoCapacity,
    /// The job was not accepted: the submission could not be sent to any coordinator.
    NotSent,
    /// The job was not accepted: a job of another queue has its ID.
    IdTaken,
    /// The job may or may not have been accepted.
    Unknown,
}

/// Client for calls to the coordinators.
#[derive(Clone)]
pub(super) struct CoordinatorCalls {
    client: reqwest::Client,
    port: u16,
    cluster: Arc<ClusterWatch>,
}

impl CoordinatorCalls {
    /// Creates a client for the coordinators of a cluster, which all listen on `port`.
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
    async fn wait_for_new_scheduler(&self, service: &str, holder: u32) {
        let has_moved = |scheduler: Option<u32>| scheduler.is_some_and(|other| other != holder);
        self.cluster
            .wait_until(|info| has_moved(info.scheduler(service)))
            .await;
    }

    /// Calls the scheduler of a service. The call is abandoned as soon as another coordinator becomes the scheduler.
    async fn call_scheduler(
        &self,
        service: &str,
        holder: u32,
        request: &CoordinatorRequest,
        deadline: Instant,
    ) -> Result<CoordinatorResponse, CallError> {
        let call = self.call(holder, request, deadline);
        let moved = self.wait_for_new_scheduler(service, holder);
        tokio::select! {
            response = call => response,
            () = moved => Err(CallError::Unanswered),
        }
    }

    /// Submits a job, with retries. Retries are safe because submissions are idempotent.
    pub(super) async fn submit(&self, submission: Submission, deadline: Instant) -> SubmitOutcome {
        let service = submission.service.clone();
        let request = CoordinatorRequest::Submit(Box::new(submission));
        let not_sent_deadline = (Instant::now() + NOT_SENT_TIMEOUT).min(deadline);
        let mut was_sent = false;
        loop {
            let info = self.cluster.current();
            // After a pause of this process the client may have given up, and cancelled the job elsewhere.
            let is_in_time = Instant::now() < deadline;
            if let Some(holder) = info.scheduler(&service).filter(|_| is_in_time) {
                let call = self.call_scheduler(&service, holder, &request, deadline);
                match call.await {
                    Ok(CoordinatorResponse::Accepted) => return SubmitOutcome::Accepted,
                    Ok(CoordinatorResponse::JobIdTaken) => return SubmitOutcome::IdTaken,
                    Ok(CoordinatorResponse::NoCapacity) if !was_sent => {
                        return SubmitOutcome::NoCapacity
                    }
                    Ok(CoordinatorResponse::NotServing) | Err(CallError::NotSent) => {}
                    Ok(_) | Err(CallError::Unanswered) => was_sent = true,
                }
            }
            let retry_until = if was_sent {
                deadline
            } else {
                not_sent_deadline
            };
            if Instant::now() + RETRY_DELAY >= retry_until {
                return if was_sent {
                    SubmitOutcome::Unknown
                } else {
                    SubmitOutcome::NotSent
                };
            }
            self.cluster.wait_for_change(&info, RETRY_DELAY).await;
        }
    }

    /// Calls the coordinators in turn, from the tail to the head, until one responds; `None` if none did before the
    /// deadline.
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
            self.cluster.wait_for_change(&info, RETRY_DELAY).await;
        }
    }
}
