//! A pool of persistent connections to workers.
//!
//! A scheduler makes a call for each start and each long poll, some thousands a second at size. `reqwest` parses a URL and
//! passes its layers for redirects and retries for each, which took two fifths of the processor time of a coordinator;
//! here calls go straight to connections of `hyper`, on which `reqwest` stands too.
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

/// A connection that was not used for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of idle connections to one worker.
const MAX_IDLE_PER_WORKER: usize = 4;
/// Interval between two sweeps that close expired connections, also of workers that are not called any more.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// With more open connections than this none stays idle, where no other limit is set.
const DEFAULT_MAX_OPEN: usize = 2800;
/// Maximum length of a response's body, in bytes: a listing of 500 completions and all runs is far smaller.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Why a call has no response.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The call, or the connection attempt, has timed out.
    #[error("no answer in time")]
    Timeout,
    /// The connection attempt has failed.
    #[error("no connection: {0}")]
    Connect(#[from] io::Error),
    /// The connection ended, or what came is no HTTP response.
    #[error("the connection: {0}")]
    Http(#[from] hyper::Error),
    /// The body was cut off, or is too long.
    #[error("the answer's body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
}

/// Connections that no call uses now.
struct IdleConnections {
    by_worker: HashMap<SocketAddr, Vec<IdleConnection>>,
    next_sweep_at: Instant,
}

/// Connections to workers, shared by all calls.
#[derive(Clone)]
pub struct WorkerConnections {
    idle: Arc<Mutex<IdleConnections>>,
    open: Arc<AtomicUsize>,
    /// With more open than this none stays idle, so that descriptors are left for others.
    max_open: usize,
}

impl Default for WorkerConnections {
    fn default() -> Self {
        WorkerConnections::new(DEFAULT_MAX_OPEN)
    }
}

impl WorkerConnections {
    /// A pool without connections; none stays idle while more than `max_open` are open.
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

    /// How many connections are open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    /// When there is no complete response in time; it isn't known then whether the worker has read the request.
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
        // A connection that the worker closed meanwhile gives the request back unsent.
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

    /// The connection that was used last, unless it has ended.
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

    /// Makes a connection available to the next call, unless enough are idle.
    fn release(&self, from: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        if sender.is_closed() || self.open() > self.max_open {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let worker_idle = idle.by_worker.entry(from).or_default();
        if worker_idle.len() < MAX_IDLE_PER_WORKER {
            worker_idle.push(IdleConnection {
                sender,
                since: Instant::now(),
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
            // Whoever waits for a response on it gets the error.
            let _ = connection.await;
            drop(open);
        });
        Ok(sender)
    }
}

/// Counts a connection while it is open.
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
        !self.sender.is_closed() && now < self.since + IDLE_TIMEOUT
    }
}

impl IdleConnections {
    /// Closes expired connections, once in an interval. Workers that have departed are not called again, and without
    /// this their connections would stay for good.
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
