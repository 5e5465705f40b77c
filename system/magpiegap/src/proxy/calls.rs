//! Calls to the coordinators, tried again while that does no harm.
use super::feed::{Knowledge, Known};
use crate::endpoint::{self, CallError};
use magpiegap_protocol::{CoordinatorRequest, CoordinatorResponse, Submission};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

/// Longest wait for one coordinator's answer, beside the time that the request may take on its way.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// A link takes at least so many bytes of a request in a millisecond: 128 kbit/s.
const LEAST_BYTES_PER_MS: u64 = 16;
/// Longest wait for one coordinator's answer to a question that another one can answer as well.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before another try, unless there is news before.
const PAUSE: Duration = Duration::from_millis(60);
/// A request that could be offered to nobody is refused after this time.
const UNOFFERED: Duration = Duration::from_millis(900);

/// How long an answer to a request is waited for: as much longer as a slow link takes for a large one, so that it is not
/// broken off and sent again and again.
fn patience(request: &CoordinatorRequest) -> Duration {
    let bytes = match request {
        CoordinatorRequest::Submit(submission) => submission.estimated_bytes() as u64,
        _ => 0,
    };
    CALL_TIMEOUT + Duration::from_millis(bytes / LEAST_BYTES_PER_MS)
}

/// How a submission ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Submitted {
    /// The job is kept.
    Accepted,
    /// There is no room; the job is not kept.
    Full,
    /// Nobody could be asked; the job is not kept.
    Refused,
    /// It isn't known whether the job is kept.
    Unknown,
}

/// Calls to the coordinators.
#[derive(Clone)]
pub(super) struct Calls {
    client: reqwest::Client,
    port: u16,
    knowledge: Arc<Knowledge>,
}

impl Calls {
    /// Calls by what is known.
    pub(super) fn new(client: reqwest::Client, port: u16, knowledge: Arc<Knowledge>) -> Calls {
        Calls {
            client,
            port,
            knowledge,
        }
    }

    async fn call(
        &self,
        address: u32,
        request: &CoordinatorRequest,
        deadline: Instant,
    ) -> Result<CoordinatorResponse, CallError> {
        let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::from(address)), self.port);
        let left = deadline.saturating_duration_since(Instant::now());
        endpoint::call(&self.client, address, request, left.min(patience(request))).await
    }

    /// Waits until another coordinator schedules a service.
    async fn moved(&self, service: &str, holder: u32) {
        self.knowledge
            .until(|known| {
                known
                    .scheduler(service)
                    .is_some_and(|other| other != holder)
            })
            .await;
    }

    /// Hands a job in. The same job may be handed in again: it remains one.
    pub(super) async fn submit(&self, submission: Submission, deadline: Instant) -> Submitted {
        let service = submission.service.clone();
        let request = CoordinatorRequest::Submit(Box::new(submission));
        let give_up = (Instant::now() + UNOFFERED).min(deadline);
        let mut offered = false;
        loop {
            let known = self.knowledge.now();
            if let Some(holder) = known.scheduler(&service) {
                let call = self.call(holder, &request, deadline);
                let moved = self.moved(&service, holder);
                let answer = tokio::select! {
                    answer = call => answer,
                    () = moved => Err(CallError::Unanswered),
                };
                match answer {
                    Ok(CoordinatorResponse::Accepted) => return Submitted::Accepted,
                    Ok(CoordinatorResponse::Full) if !offered => return Submitted::Full,
                    Ok(CoordinatorResponse::NotServing) | Err(CallError::NotSent) => {}
                    Ok(_) | Err(CallError::Unanswered) => offered = true,
                }
            }
            let until = if offered { deadline } else { give_up };
            if Instant::now() + PAUSE >= until {
                return if offered {
                    Submitted::Unknown
                } else {
                    Submitted::Refused
                };
            }
            self.knowledge.news(&known, PAUSE).await;
        }
    }

    /// Asks the coordinators in turn, the one at the tail first, until one can answer.
    pub(super) async fn ask(
        &self,
        request: &CoordinatorRequest,
        deadline: Instant,
    ) -> Option<CoordinatorResponse> {
        loop {
            let known: Arc<Known> = self.knowledge.now();
            for reader in known.readers() {
                let soon = deadline.min(Instant::now() + READ_TIMEOUT);
                match self.call(reader, request, soon).await {
                    Ok(CoordinatorResponse::NotServing | CoordinatorResponse::Unknown) | Err(_) => {
                    }
                    Ok(answer) => return Some(answer),
                }
                if Instant::now() >= deadline {
                    return None;
                }
            }
            if Instant::now() + PAUSE >= deadline {
                return None;
            }
            self.knowledge.news(&known, PAUSE).await;
        }
    }
}
