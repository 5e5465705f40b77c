//! The operator and the clients: submit the configuration and jobs, and poll the jobs' states. The scenario determines
//! what is submitted and when.
use crate::{
    cluster::{client_address, control_address, readiness_address},
    error::DemoError,
    work::{self, StepWork},
};
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Host of the demo's only queue.
const QUEUE_HOST: &str = "demo.example";
/// Path prefix under which jobs are submitted to the queue.
const QUEUE_PATH_PREFIX: &str = "/pages/";
/// Id of the first job; later jobs have consecutive ids.
const FIRST_JOB_ID: u64 = 0xde30_0000_0000_0000;
/// Timeout of one HTTP request.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1500);
/// `ATTEMPT_TIMEOUT` as the value of the `Deadline-Ms` header.
const DEADLINE_MS: &str = "1500";
/// Delay before a retry.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between polls of a job's state.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time for the cluster to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The outcome of a job, as seen by its client.
#[derive(Clone, Debug)]
pub(crate) struct JobOutcome {
    /// Time from the first submission until the job was accepted; 0 if it never was.
    pub accepted_after_ms: u64,
    /// Time from the first submission until the job was reported as succeeded; `None` if it never was.
    pub succeeded_after_ms: Option<u64>,
    /// The last reported state.
    pub state: String,
}

/// The clients of one cluster.
#[derive(Clone)]
pub(crate) struct Clients {
    http: reqwest::Client,
    coordinators: u8,
    proxies: u8,
}

impl Clients {
    /// Creates the clients of a cluster of this size.
    pub(crate) fn new(coordinators: u8, proxies: u8) -> Clients {
        let builder = reqwest::Client::builder()
            .no_proxy()
            .timeout(ATTEMPT_TIMEOUT)
            .tcp_nodelay(true);
        Clients {
            http: builder.build().unwrap_or_default(),
            coordinators,
            proxies,
        }
    }

    /// Submits the initial configuration, and waits until all proxies are ready.
    ///
    /// # Errors
    /// If this exceeds the timeout.
    pub(crate) async fn configure(&self) -> Result<(), DemoError> {
        let body = configuration_body().to_string();
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.submit_configuration(&body).await {
            if Instant::now() > deadline {
                return Err(DemoError::ConfigurationTimeout);
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        for number in 1..=self.proxies {
            while !self.is_ready(readiness_address(number)).await {
                if Instant::now() > deadline {
                    return Err(DemoError::ReadinessTimeout);
                }
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Submits the configuration to each coordinator until one accepts it.
    async fn submit_configuration(&self, body: &str) -> bool {
        for number in 1..=self.coordinators {
            let url = format!("http://{}/-/Config.Replace", control_address(number));
            let sent = self
                .http
                .post(url)
                .header("Base-Version", "0")
                .header("Content-Type", "application/json")
                .body(body.to_owned())
                .send()
                .await;
            if sent.is_ok_and(|response| response.status().is_success()) {
                return true;
            }
        }
        false
    }

    async fn is_ready(&self, address: SocketAddr) -> bool {
        let sent = self
            .http
            .get(format!("http://{address}/-/ready"))
            .send()
            .await;
        sent.is_ok_and(|response| response.status().as_u16() == 200)
    }

    /// Submits a job and polls it until it has ended or `timeout` has passed.
    pub(crate) async fn submit_and_poll_job(
        &self,
        number: u64,
        steps: Vec<StepWork>,
        timeout: Duration,
    ) -> JobOutcome {
        let path = format!("{QUEUE_PATH_PREFIX}{:016x}", FIRST_JOB_ID + number);
        let body = work::job_body(&steps).to_string();
        let started_at = Instant::now();
        let mut outcome = JobOutcome {
            accepted_after_ms: 0,
            succeeded_after_ms: None,
            state: "never accepted".to_owned(),
        };
        let mut attempt = number;
        while !self.submit(self.proxy(attempt), &path, &body).await {
            if started_at.elapsed() > timeout {
                return outcome;
            }
            attempt += 1;
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        outcome.accepted_after_ms = elapsed_ms(started_at);
        while started_at.elapsed() < timeout {
            match self.state(self.proxy(attempt), &path).await {
                Some(state) => outcome.state = state,
                None => attempt += 1,
            }
            match outcome.state.as_str() {
                "succeeded" => {
                    outcome.succeeded_after_ms = Some(elapsed_ms(started_at));
                    return outcome;
                }
                "failed" | "cancelled" => return outcome,
                _ => tokio::time::sleep(STATUS_INTERVAL).await,
            }
        }
        outcome
    }

    /// Chooses the proxy for an attempt, round-robin.
    fn proxy(&self, attempt: u64) -> SocketAddr {
        client_address((attempt % u64::from(self.proxies.max(1))) as u8 + 1)
    }

    async fn submit(&self, proxy: SocketAddr, path: &str, body: &str) -> bool {
        let sent = self
            .http
            .post(format!("http://{proxy}{path}"))
            .header("Host", QUEUE_HOST)
            .header("Content-Type", "application/json")
            .header("Deadline-Ms", DEADLINE_MS)
            .body(body.to_owned())
            .send()
            .await;
        sent.is_ok_and(|response| response.status().is_success())
    }

    /// Requests a job's state; `None` if the proxy did not return it.
    async fn state(&self, proxy: SocketAddr, path: &str) -> Option<String> {
        let response = self
            .http
            .get(format!("http://{proxy}{path}"))
            .header("Host", QUEUE_HOST)
            .header("Deadline-Ms", DEADLINE_MS)
            .send()
            .await
            .ok()?;
        let body = response.bytes().await.ok()?;
        let value: serde_json::Value = serde_json::from_slice(&body).ok()?;
        value.get("state")?.as_str().map(str::to_owned)
    }
}

/// The demo's configuration, with one queue and one service.
fn configuration_body() -> serde_json::Value {
    serde_json::json!({
        "version": 1,
        "routes": [{
            "name": "pages", "hostname": QUEUE_HOST, "pathPrefix": QUEUE_PATH_PREFIX, "type": "unsafe", "timeoutMs": 3000,
            "targetLatencyMs": 250, "priority": 0, "service": "pages", "maxAttempts": 3, "stretch": 2.0,
        }],
        "services": [{
            "name": "pages", "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false,
            "guards": true,
        }],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
        },
    })
}

fn elapsed_ms(started_at: Instant) -> u64 {
    started_at.elapsed().as_millis() as u64
}
