//! A connection to discovery and a call on it. Decides nothing.
use super::watch::{CallId, Event, LONG_POLL_TIMEOUT};
use crate::listing::{Listing, ListingError, Names};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;
use tokio_util::io::InspectReader;

/// Maximum size of a list, in bytes.
const MAX_LIST_LEN: usize = 4 << 20;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("{0}")]
    Connect(#[source] io::Error),
    #[error("{0}")]
    Request(#[source] hyper::http::Error),
    #[error("{0}")]
    Http(#[source] hyper::Error),
    #[error("unexpected status {0}")]
    Status(StatusCode),
    #[error("{0}")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    #[error(transparent)]
    Listing(#[from] ListingError),
}

/// A report of a call.
pub(super) enum CallReport {
    /// Progress or failure.
    Event(Event),
    /// The response; the connection can be reused for the next call.
    Answered(CallId, Listing, Connection),
}

/// One connection to discovery; closed when dropped.
pub(super) struct Connection {
    sender: http1::SendRequest<Empty<Bytes>>,
    task: AbortHandle,
    /// The call that received bytes belong to.
    call: Rc<Cell<CallId>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    async fn open(
        addr: SocketAddr,
        id: CallId,
        reports: &UnboundedSender<CallReport>,
    ) -> Result<Connection, CallError> {
        let stream = TcpStream::connect(addr).await.map_err(CallError::Connect)?;
        let call = Rc::new(Cell::new(id));
        let (current_call, reports) = (call.clone(), reports.clone());
        let stream = InspectReader::new(stream, move |bytes: &[u8]| {
            if !bytes.is_empty() {
                let received = Event::Received(current_call.get());
                // Fails only after the watch has ended.
                let _ = reports.send(CallReport::Event(received));
            }
        });
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(CallError::Http)?;
        let task = tokio::task::spawn_local(async move {
            // The call on this connection reports the error.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            call,
        })
    }
}

/// A call to discovery.
pub(super) struct Call {
    /// Its id.
    pub id: CallId,
    /// The known version, if any.
    pub since: Option<u64>,
    /// The address of discovery.
    pub addr: SocketAddr,
    /// An idle connection from an earlier call to that address.
    pub reusable: Option<Connection>,
    /// The names of zones and kinds.
    pub names: Rc<Names>,
}

impl Call {
    /// Makes the call and reports its progress and result.
    pub(super) async fn run(self, reports: UnboundedSender<CallReport>) {
        let id = self.id;
        let report = match self.response(&reports).await {
            Ok((listing, connection)) => CallReport::Answered(id, listing, connection),
            Err(error) => CallReport::Event(Event::Failed(id, error.to_string())),
        };
        // Fails only after the watch has ended.
        let _ = reports.send(report);
    }

    async fn response(
        self,
        reports: &UnboundedSender<CallReport>,
    ) -> Result<(Listing, Connection), CallError> {
        let request = self.request();
        let mut connection = match usable(self.reusable).await {
            Some(connection) => connection,
            None => Connection::open(self.addr, self.id, reports).await?,
        };
        connection.call.set(self.id);
        let _ = reports.send(CallReport::Event(Event::Connected(self.id)));
        let request = request.map_err(CallError::Request)?;
        let response = connection
            .sender
            .send_request(request)
            .await
            .map_err(CallError::Http)?;
        if response.status() != StatusCode::OK {
            return Err(CallError::Status(response.status()));
        }
        let body = Limited::new(response.into_body(), MAX_LIST_LEN)
            .collect()
            .await
            .map_err(CallError::Body)?;
        let listing = Listing::parse(&body.to_bytes(), &self.names)?;
        Ok((listing, connection))
    }

    fn request(&self) -> Result<Request<Empty<Bytes>>, hyper::http::Error> {
        let timeout_ms = LONG_POLL_TIMEOUT.as_millis();
        let path = match self.since {
            Some(version) => {
                format!("/api/targets?since={version}&timeout_ms={timeout_ms}")
            }
            None => "/api/targets".to_string(),
        };
        Request::get(path)
            .header(header::HOST, self.addr.to_string())
            .body(Empty::new())
    }
}

/// Returns the connection if it can carry a call. Discovery may have closed it after its last response, which is not a
/// failed call.
async fn usable(connection: Option<Connection>) -> Option<Connection> {
    let mut connection = connection?;
    connection.sender.ready().await.ok()?;
    Some(connection)
}
