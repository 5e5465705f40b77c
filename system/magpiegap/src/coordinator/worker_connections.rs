//! Lasting connections to workers.
//!
//! A scheduler makes a call for each start and each look, some thousands a second at size. `reqwest` parses a URL and
//! passes its layers for redirects and retries for each, which took two fifths of the processor time of a coordinator;
//! here calls go straight to connections of `hyper`, on which `reqwest` stands too.
use crate::endpoint::{CONNECT_TIMEOUT, UNACKNOWLEDGED};
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
const IDLE_FOR: Duration = Duration::from_secs(60);
/// Connections kept for one worker while they are not used.
const MOST_IDLE: usize = 4;
/// Time between two searches for connections that are to be closed, also of workers that are not called any more.
const SEARCH_EVERY: Duration = Duration::from_secs(10);
/// Open connections where no other limit is set.
const MOST_OPEN: usize = 2800;
/// Longest body of an answer, in bytes: a listing of 500 ends and all runs is far smaller.
const MOST_BODY: usize = 4 << 20;

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// It took too long.
    #[error("no answer in time")]
    Timeout,
    /// No connection came up.
    #[error("no connection: {0}")]
    Connect(#[from] io::Error),
    /// The connection ended, or what came is no answer.
    #[error("the connection: {0}")]
    Http(#[from] hyper::Error),
    /// The body was cut off, or is too long.
    #[error("the answer's body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
}

/// Connections that are not used now.
struct IdleConnections {
    of_workers: HashMap<SocketAddr, Vec<Idle>>,
    next_search: Instant,
}

/// Connections to workers, shared by all calls.
#[derive(Clone)]
pub struct WorkerConnections {
    idle: Arc<Mutex<IdleConnections>>,
    open: Arc<AtomicUsize>,
    /// With more open than this none is kept while it is not used, so that descriptors are left for others.
    most_open: usize,
}

impl Default for WorkerConnections {
    fn default() -> Self {
        WorkerConnections::new(MOST_OPEN)
    }
}

impl WorkerConnections {
    /// No connections yet; of those not used, none are kept while more than `most_open` are open.
    pub fn new(most_open: usize) -> WorkerConnections {
        let idle = IdleConnections {
            of_workers: HashMap::new(),
            next_search: Instant::now() + SEARCH_EVERY,
        };
        WorkerConnections {
            idle: Arc::new(Mutex::new(idle)),
            open: Arc::default(),
            most_open,
        }
    }

    /// How many connections are open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// When there is no whole answer in time; it isn't known then whether the worker has read the request.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), ConnectionError> {
        let until = Instant::now() + timeout;
        timeout_at(until, self.exchange(to, request))
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
                Ok(response) => return self.read_answer(to, sender, response).await,
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(error.into_error().into()),
                },
            }
        }
        let mut sender = self.connect(to).await?;
        let response = sender.send_request(request).await?;
        self.read_answer(to, sender, response).await
    }

    async fn read_answer(
        &self,
        from: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        response: hyper::Response<hyper::body::Incoming>,
    ) -> Result<(StatusCode, Bytes), ConnectionError> {
        let status = response.status();
        let body = Limited::new(response.into_body(), MOST_BODY)
            .collect()
            .await;
        let body = body.map_err(ConnectionError::Body)?.to_bytes();
        self.keep(from, sender);
        Ok((status, body))
    }

    /// The connection that was used last, unless it has ended.
    fn take_idle(&self, to: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        idle.search(now);
        let of_worker = idle.of_workers.get_mut(&to)?;
        of_worker.retain(|idle| idle.is_of_use(now));
        let last = of_worker.pop();
        if of_worker.is_empty() {
            idle.of_workers.remove(&to);
        }
        last.map(|idle| idle.sender)
    }

    fn keep(&self, from: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        if sender.is_closed() || self.open() > self.most_open {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let of_worker = idle.of_workers.entry(from).or_default();
        if of_worker.len() < MOST_IDLE {
            of_worker.push(Idle {
                sender,
                since: Instant::now(),
            });
        }
    }

    async fn connect(&self, to: SocketAddr) -> Result<SendRequest<Full<Bytes>>, ConnectionError> {
        let until = Instant::now() + CONNECT_TIMEOUT;
        let stream = timeout_at(until, TcpStream::connect(to))
            .await
            .map_err(|_| ConnectionError::Timeout)??;
        stream.set_nodelay(true)?;
        socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let open = OpenConnection::new(&self.open);
        tokio::spawn(async move {
            // How it ended is told to whoever waits for an answer on it.
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

impl Idle {
    fn is_of_use(&self, now: Instant) -> bool {
        !self.sender.is_closed() && now < self.since + IDLE_FOR
    }
}

impl IdleConnections {
    /// Closes what is of no use any more, now and then. Workers that have gone are not called again, and without this
    /// their connections would stay for good.
    fn search(&mut self, now: Instant) {
        if now < self.next_search {
            return;
        }
        self.next_search = now + SEARCH_EVERY;
        self.of_workers.retain(|_, of_worker| {
            of_worker.retain(|idle| idle.is_of_use(now));
            !of_worker.is_empty()
        });
    }
}
