//! A pool of persistent connections to workers.
//!
//! A scheduler makes one call per run start and per long poll, which amounts to some thousands per second in a large
//! cluster. With `reqwest`, URL parsing and the layers for redirects and retries took two fifths of a coordinator's CPU
//! time, so this module uses connections of `hyper` directly.
use crate::endpoint::{CONNECT_TIMEOUT, TCP_USER_TIMEOUT};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    client::conn::http1::{self, SendRequest},
    Request, StatusCode,
};
use hyper_util::rt::TokioIo;
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex, PoisonError,
    },
    time::Duration,
};
use tokio::{
    net::TcpStream,
    time::{timeout_at, Instant},
};

/// Idle timeout of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of idle connections to one worker.
const MAX_IDLE_PER_WORKER: usize = 4;
/// Interval between sweeps that close expired connections, including those to workers that are no longer called.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// Default for the number of open connections above which none is kept idle.
const DEFAULT_MAX_OPEN: usize = 2800;
/// Maximum length of a response body, in bytes. A listing of 500 completions and all runs is far smaller.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The call or the connection attempt timed out.
    #[error("timed out")]
    Timeout,
    /// The connection attempt failed.
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    /// The connection ended, or the response is not valid HTTP.
    #[error("HTTP error: {0}")]
    Http(#[from] hyper::Error),
    /// The response body is truncated or too long.
    #[error("cannot read the response body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    idle_since: Instant,
}

/// The pool of connections that are not used by a call.
struct IdleConnections {
    by_worker: HashMap<SocketAddr, Vec<IdleConnection>>,
    next_sweep_at: Instant,
}

/// A pool of connections to workers, shared by all calls.
#[derive(Clone)]
pub struct WorkerConnections {
    idle: Arc<Mutex<IdleConnections>>,
    open: Arc<AtomicUsize>,
    /// While more connections than this are open, none is kept idle, to leave file descriptors for other uses.
    max_open: usize,
}

impl Default for WorkerConnections {
    fn default() -> Self {
        WorkerConnections::new(DEFAULT_MAX_OPEN)
    }
}

impl WorkerConnections {
    /// Creates an empty pool. No connection is kept idle while more than `max_open` are open.
    pub fn new(max_open: usize) -> WorkerConnections {
        let idle = IdleConnections {
            by_worker: HashMap::new(),
            next_sweep_at: Instant::now() + IDLE_SWEEP_INTERVAL,
        };
        WorkerConnections {
            idle: Arc::new(Mutex::new(idle)),
            open: Arc::default(),
            max_open,
        }
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Sends a request and returns the status and the complete body of the response.
    ///
    /// # Errors
    /// When there is no complete response within the timeout. The worker may still have received the request, unless the
    /// connection attempt failed.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), ConnectionError> {
        let deadline = Instant::now() + timeout;
        timeout_at(deadline, self.exchange(to, request))
            .await
            .map_err(|_| ConnectionError::Timeout)?
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), ConnectionError> {
        // If the worker has closed an idle connection, `hyper` returns the unsent request, and the next one is tried.
        while let Some(mut sender) = self.take_idle(to) {
            match sender.try_send_request(request).await {
                Ok(response) => return self.read_response(to, sender, response).await,
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(error.into_error().into()),
                },
            }
        }
        let mut sender = self.connect(to).await?;
        let response = sender.send_request(request).await?;
        self.read_response(to, sender, response).await
    }

    async fn read_response(
        &self,
        from: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        response: hyper::Response<hyper::body::Incoming>,
    ) -> Result<(StatusCode, Bytes), ConnectionError> {
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
            .collect()
            .await;
        let body = body.map_err(ConnectionError::Body)?.to_bytes();
        self.release(from, sender);
        Ok((status, body))
    }

    /// Takes the most recently used idle connection that is still usable.
    fn take_idle(&self, to: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        idle.sweep(now);
        let worker_idle = idle.by_worker.get_mut(&to)?;
        worker_idle.retain(|idle| idle.is_usable(now));
        let last = worker_idle.pop();
        if worker_idle.is_empty() {
            idle.by_worker.remove(&to);
        }
        last.map(|idle| idle.sender)
    }

    /// Returns a connection to the pool, unless it is closed or a limit is reached.
    fn release(&self, from: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        if sender.is_closed() || self.open() > self.max_open {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let worker_idle = idle.by_worker.entry(from).or_default();
        if worker_idle.len() < MAX_IDLE_PER_WORKER {
            worker_idle.push(IdleConnection {
                sender,
                idle_since: Instant::now(),
            });
        }
    }

    async fn connect(&self, to: SocketAddr) -> Result<SendRequest<Full<Bytes>>, ConnectionError> {
        let deadline = Instant::now() + CONNECT_TIMEOUT;
        let stream = timeout_at(deadline, TcpStream::connect(to))
            .await
            .map_err(|_| ConnectionError::Timeout)??;
        stream.set_nodelay(true)?;
        socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let open = OpenConnection::new(&self.open);
        tokio::spawn(async move {
            // Errors are reported to the caller that waits for a response on this connection.
            let _ = connection.await;
            drop(open);
        });
        Ok(sender)
    }
}

/// Guard that counts a connection as open until it is dropped.
struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    fn new(open: &Arc<AtomicUsize>) -> OpenConnection {
        open.fetch_add(1, Ordering::Relaxed);
        OpenConnection(open.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        !self.sender.is_closed() && now < self.idle_since + IDLE_TIMEOUT
    }
}

impl IdleConnections {
    /// Closes expired connections, at most once per [`IDLE_SWEEP_INTERVAL`]. Departed workers are not called again, so
    /// their connections would otherwise never be closed.
    fn sweep(&mut self, now: Instant) {
        if now < self.next_sweep_at {
            return;
        }
        self.next_sweep_at = now + IDLE_SWEEP_INTERVAL;
        self.by_worker.retain(|_, worker_idle| {
            worker_idle.retain(|idle| idle.is_usable(now));
            !worker_idle.is_empty()
        });
    }
}
