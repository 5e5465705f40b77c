//! Clients of one balancer: idle connections, requests at a constant rate, and calls that stay in flight.
use super::error::CapacityError;
use super::http;
use crate::net::lock;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{interval, MissedTickBehavior};

/// Number of connections over which requests at a constant rate are distributed.
const CONNECTIONS: usize = 16;
/// Interval between the starts of calls that stay in flight: faster than the peak of 57 starts per second.
const START_PAUSE: Duration = Duration::from_millis(2);
/// Request deadline, in milliseconds: longer than any trial.
const DEADLINE_MS: u64 = 600_000;

/// The clients of one balancer.
pub(super) struct Clients {
    to: SocketAddr,
    tenants: usize,
    requests: AtomicU64,
    /// Number of responses with status 200.
    pub served: AtomicUsize,
    /// Number of responses with any other status.
    pub refused: AtomicUsize,
    idle: Mutex<Vec<BufReader<TcpStream>>>,
}

impl Clients {
    /// Returns the clients without any connections.
    pub(super) fn new(to: SocketAddr, tenants: usize) -> Arc<Clients> {
        Arc::new(Clients {
            to,
            tenants,
            requests: AtomicU64::new(0),
            served: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
            idle: Mutex::default(),
        })
    }

    /// Opens connections, sends one request on each and leaves them idle. The request is needed because a balancer soon
    /// closes a connection on which it never received one.
    pub(super) async fn open_idle(&self, count: usize) -> Result<(), CapacityError> {
        for number in 0..count {
            let stream = self
                .call(None)
                .await
                .ok_or(CapacityError::NoResponse(number))?;
            lock(&self.idle).push(stream);
        }
        Ok(())
    }

    /// Sends requests at a constant rate, distributed over several connections, until the trial ends.
    pub(super) fn send_at_rate(self: &Arc<Self>, per_second: f64) {
        let period = Duration::from_secs_f64(CONNECTIONS as f64 / per_second);
        for number in 0..CONNECTIONS {
            let (own, offset) = (
                self.clone(),
                period.mul_f64(number as f64 / CONNECTIONS as f64),
            );
            tokio::spawn(async move {
                tokio::time::sleep(offset).await;
                let mut due = interval(period);
                due.set_missed_tick_behavior(MissedTickBehavior::Burst);
                let mut stream = None;
                loop {
                    due.tick().await;
                    stream = own.call(stream).await;
                }
            });
        }
    }

    /// Starts calls that stay in flight, each on its own connection.
    pub(super) async fn start_calls_in_flight(self: &Arc<Self>, count: usize) {
        for _ in 0..count {
            let own = self.clone();
            tokio::spawn(async move { own.call(None).await });
            tokio::time::sleep(START_PAUSE).await;
        }
    }

    /// Sends one request and waits for the response. Returns the connection for reuse.
    async fn call(&self, stream: Option<BufReader<TcpStream>>) -> Option<BufReader<TcpStream>> {
        let mut stream = match stream {
            Some(stream) => stream,
            None => BufReader::new(TcpStream::connect(self.to).await.ok()?),
        };
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let tenant = number as usize % self.tenants;
        let request = format!(
            "GET /api HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {number:016x}\r\nReq-Kind: task\r\n\
             Req-Owner: team-{tenant}\r\nReq-Deadline: {DEADLINE_MS}m\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.ok()?;
        let response = http::read(&mut stream).await?;
        let counter = if response.status() == Some(200) {
            &self.served
        } else {
            &self.refused
        };
        counter.fetch_add(1, Ordering::Relaxed);
        Some(stream)
    }
}
