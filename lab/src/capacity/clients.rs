//! Clients of one balancer: idle connections, requests at a steady rate, and calls that wait for their answer.
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

/// Connections over which requests at a steady rate are spread.
const CONNECTIONS: usize = 16;
/// The pause between calls that are to be held: a peak of 57 starts a second is under it.
const START_PAUSE: Duration = Duration::from_millis(2);
/// How long a client waits for its answer, in milliseconds: longer than any trial.
const DEADLINE_MS: u64 = 600_000;

/// The clients of one balancer.
pub(super) struct Clients {
    to: SocketAddr,
    tenants: usize,
    requests: AtomicU64,
    /// Answers of 200, and all others.
    pub served: AtomicUsize,
    pub refused: AtomicUsize,
    idle: Mutex<Vec<BufReader<TcpStream>>>,
}

impl Clients {
    /// None yet.
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

    /// Opens connections, has one request answered on each and says nothing more: a balancer soon closes one on which
    /// no request ever came.
    pub(super) async fn rest(&self, count: usize) -> Result<(), CapacityError> {
        for number in 0..count {
            let stream = self
                .call(None)
                .await
                .ok_or(CapacityError::NoResponse(number))?;
            lock(&self.idle).push(stream);
        }
        Ok(())
    }

    /// Sends requests at a rate, each connection its part of it, until the trial ends.
    pub(super) fn ask_steadily(self: &Arc<Self>, per_second: f64) {
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

    /// Begins calls that are to be held, one connection each.
    pub(super) async fn hold(self: &Arc<Self>, count: usize) {
        for _ in 0..count {
            let own = self.clone();
            tokio::spawn(async move { own.call(None).await });
            tokio::time::sleep(START_PAUSE).await;
        }
    }

    /// One request; returns the connection for the next one.
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
        let answer = http::read(&mut stream).await?;
        let counter = if answer.status() == Some(200) {
            &self.served
        } else {
            &self.refused
        };
        counter.fetch_add(1, Ordering::Relaxed);
        Some(stream)
    }
}
