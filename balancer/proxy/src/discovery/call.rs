//! One connection to discovery, and one call on it. Decides nothing.
use super::watch::{CallId, Event, WAIT};
use crate::listing::{Listing, Names};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;
use tokio_util::io::InspectReader;

/// Largest list accepted.
const LIST_MOST: usize = 4 << 20;

/// What a call tells.
pub(super) enum Notice {
    /// How far it is, or that it failed.
    Event(Event),
    /// It was answered; its connection is free for the next call.
    Answered(CallId, Listing, Connection),
}

/// One connection to discovery; closed when dropped.
pub(super) struct Connection {
    sender: http1::SendRequest<Empty<Bytes>>,
    task: AbortHandle,
    /// The call that what is read belongs to.
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
        tell: &UnboundedSender<Notice>,
    ) -> Result<Connection, String> {
        let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
        let call = Rc::new(Cell::new(id));
        let (reading, notices) = (call.clone(), tell.clone());
        let stream = InspectReader::new(stream, move |bytes: &[u8]| {
            if !bytes.is_empty() {
                // Nobody listens any more once the watch has ended.
                let _ = notices.send(Notice::Event(Event::Received(reading.get())));
            }
        });
        let (sender, conn) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| e.to_string())?;
        let task = tokio::task::spawn_local(async move {
            // How the connection ended shows in the call that was on it.
            let _ = conn.await;
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            call,
        })
    }
}

/// A call that is to be made.
pub(super) struct Call {
    /// Its number.
    pub id: CallId,
    /// The version that is known, if any.
    pub since: Option<u64>,
    /// Where discovery is.
    pub addr: SocketAddr,
    /// A connection from an earlier call to that address.
    pub kept: Option<Connection>,
    /// What zones and kinds are called.
    pub names: Rc<Names>,
}

impl Call {
    /// Makes the call and tells how far it is and what came of it.
    pub(super) async fn run(self, tell: UnboundedSender<Notice>) {
        let id = self.id;
        let notice = match self.answer(&tell).await {
            Ok((listing, connection)) => Notice::Answered(id, listing, connection),
            Err(error) => Notice::Event(Event::Failed(id, error)),
        };
        // Nobody listens any more once the watch has ended.
        let _ = tell.send(notice);
    }

    async fn answer(self, tell: &UnboundedSender<Notice>) -> Result<(Listing, Connection), String> {
        let mut connection = match usable(self.kept).await {
            Some(connection) => connection,
            None => Connection::open(self.addr, self.id, tell).await?,
        };
        connection.call.set(self.id);
        let _ = tell.send(Notice::Event(Event::Connected(self.id)));
        let path = match self.since {
            Some(version) => format!(
                "/api/targets?since={version}&timeout_ms={}",
                WAIT.as_millis()
            ),
            None => "/api/targets".to_string(),
        };
        let request = Request::get(path)
            .header(header::HOST, self.addr.to_string())
            .body(Empty::new());
        let request = request.map_err(|e| e.to_string())?;
        let answer = connection
            .sender
            .send_request(request)
            .await
            .map_err(|e| e.to_string())?;
        if answer.status() != StatusCode::OK {
            return Err(format!("answered {}", answer.status()));
        }
        let body = Limited::new(answer.into_body(), LIST_MOST)
            .collect()
            .await
            .map_err(|e| e.to_string())?;
        let listing = Listing::parse(&body.to_bytes(), &self.names)?;
        Ok((listing, connection))
    }
}

/// A connection that discovery closed after its last answer is no failed call.
async fn usable(kept: Option<Connection>) -> Option<Connection> {
    let mut connection = kept?;
    connection.sender.ready().await.ok()?;
    Some(connection)
}
