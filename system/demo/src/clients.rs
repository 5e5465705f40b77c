//! The operator and the clients: hand the configuration and jobs in, and ask for their states.
use crate::{
    cluster::{client_address, control_address, readiness_address},
    error::DemoError,
    work::{self, StepWork},
};
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// The host of the demo's only queue.
const HOST: &str = "demo.example";
/// The path under which its jobs are handed in.
const PREFIX: &str = "/pages/";
/// How long one try may take.
const TRY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause before the next try.
const PAUSE: Duration = Duration::from_millis(100);
/// Time between two questions for a job's state.
const ASK_EVERY: Duration = Duration::from_millis(100);
/// How long the cluster may take to get ready.
const READY_WITHIN: Duration = Duration::from_secs(20);

/// How a job went, as its client saw it.
#[derive(Clone, Debug)]
pub(crate) struct JobStory {
    /// How long until it was accepted.
    pub accepted_after_ms: u64,
    /// How long until it was shown as succeeded; `None`: it never was.
    pub succeeded_after_ms: Option<u64>,
    /// The state last shown.
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
    /// Clients of a cluster of this size.
    pub(crate) fn new(coordinators: u8, proxies: u8) -> Clients {
        let builder = reqwest::Client::builder()
            .no_proxy()
            .timeout(TRY_TIMEOUT)
            .tcp_nodelay(true);
        Clients {
            http: builder.build().unwrap_or_default(),
            coordinators,
            proxies,
        }
    }

    /// Hands the first configuration in, and waits until all proxies are ready.
    ///
    /// # Errors
    /// When that takes too long.
    pub(crate) async fn configure(&self) -> Result<(), DemoError> {
        let body = serde_json::json!({
            "version": 1,
            "routes": [{
                "name": "pages", "hostname": HOST, "pathPrefix": PREFIX, "type": "unsafe", "timeoutMs": 3000,
                "targetLatencyMs": 250, "priority": 0, "service": "pages", "maxAttempts": 3, "stretch": 2.0,
            }],
            "services": [{
                "name": "pages", "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false,
                "guards": true,
            }],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
            },
        });
        let until = Instant::now() + READY_WITHIN;
        while !self.try_configure(&body.to_string()).await {
            wait_until(until, "no coordinator takes the configuration").await?;
        }
        for number in 1..=self.proxies {
            while !self.is_ready(readiness_address(number)).await {
                wait_until(until, "a proxy does not get ready").await?;
            }
        }
        Ok(())
    }

    async fn try_configure(&self, body: &str) -> bool {
        for number in 1..=self.coordinators {
            let url = format!("http://{}/-/Config.Replace", control_address(number));
            let request = self
                .http
                .post(url)
                .header("Base-Version", "0")
                .body(body.to_owned());
            let request = request.header("Content-Type", "application/json");
            if request
                .send()
                .await
                .is_ok_and(|response| response.status().is_success())
            {
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

    /// Hands a job in and follows it until it has ended, or for as long as `patience` lasts.
    pub(crate) async fn follow_job(
        &self,
        number: u64,
        steps: Vec<StepWork>,
        patience: Duration,
    ) -> JobStory {
        let path = format!("{PREFIX}{:016x}", 0xde30_0000_0000_0000 + number);
        let body = work::to_body(&steps).to_string();
        let began = Instant::now();
        let mut story = JobStory {
            accepted_after_ms: 0,
            succeeded_after_ms: None,
            state: "never accepted".to_owned(),
        };
        let mut tries = number;
        while !self.submit(self.proxy(tries), &path, &body).await {
            if began.elapsed() > patience {
                return story;
            }
            tries += 1;
            tokio::time::sleep(PAUSE).await;
        }
        story.accepted_after_ms = began.elapsed().as_millis() as u64;
        while began.elapsed() < patience {
            if let Some(state) = self.state(self.proxy(tries), &path).await {
                story.state = state;
            } else {
                tries += 1;
            }
            match story.state.as_str() {
                "succeeded" => {
                    story.succeeded_after_ms = Some(began.elapsed().as_millis() as u64);
                    return story;
                }
                "failed" | "cancelled" => return story,
                _ => tokio::time::sleep(ASK_EVERY).await,
            }
        }
        story
    }

    fn proxy(&self, tries: u64) -> SocketAddr {
        client_address((tries % u64::from(self.proxies.max(1))) as u8 + 1)
    }

    async fn submit(&self, proxy: SocketAddr, path: &str, body: &str) -> bool {
        let request = self
            .http
            .post(format!("http://{proxy}{path}"))
            .header("Host", HOST);
        let request = request
            .header("Content-Type", "application/json")
            .header("Deadline-Ms", "1500");
        let sent = request.body(body.to_owned()).send().await;
        sent.is_ok_and(|response| response.status().is_success())
    }

    async fn state(&self, proxy: SocketAddr, path: &str) -> Option<String> {
        let request = self
            .http
            .get(format!("http://{proxy}{path}"))
            .header("Host", HOST);
        let response = request.header("Deadline-Ms", "1500").send().await.ok()?;
        let body = response.bytes().await.ok()?;
        let value: serde_json::Value = serde_json::from_slice(&body).ok()?;
        value.get("state")?.as_str().map(str::to_owned)
    }
}

async fn wait_until(until: Instant, complaint: &str) -> Result<(), DemoError> {
    if Instant::now() > until {
        return Err(DemoError::Cluster(complaint.to_owned()));
    }
    tokio::time::sleep(PAUSE).await;
    Ok(())
}
