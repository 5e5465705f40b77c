//! A client's socket, as its connection's task and hyper share it. Owns what was read from it and not yet handed to
//! hyper. While a request waits for its response the connection's task reads ahead here, so that the end of the client
//! shows also behind bytes of its next request.
use super::framing::{Framing, HeadScan};
use bytes::{Buf, BytesMut};
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use std::cell::RefCell;
use std::future::Future;
use std::io::{self, ErrorKind, IoSlice, Read as _};
use std::net::Shutdown;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

/// Maximum read ahead of hyper, in bytes.
const MAX_READ_AHEAD: usize = 16 << 10;
/// Read at once.
const READ_CHUNK_LEN: usize = 4 << 10;
/// How often the end of a client that has sent more than is read ahead is looked for.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// What hyper may read now.
enum Reading {
    /// The head of a request; `begun` once a part of it was handed over.
    Head { scan: HeadScan, begun: bool },
    /// The body of the request that is open.
    Body(Framing),
    /// Nothing: the request was read completely and waits for its response. `begun` as for the next one's head.
    AwaitingResponse { begun: bool },
}

impl Reading {
    /// Whether hyper has a part of the next request.
    fn has_begun(&self) -> bool {
        match self {
            Reading::Body(framing) => framing.may_have_taken_beyond(),
            Reading::Head { begun, .. } | Reading::AwaitingResponse { begun } => *begun,
        }
    }
}

struct Shared {
    socket: TcpStream,
    read_ahead: BytesMut,
    reading: Reading,
    /// The client has shut its side, or the connection is broken.
    disconnected: bool,
    /// All that hyper wrote was taken by the system.
    flushed: bool,
    /// The connection's task, while it waits for the socket.
    waker: Option<Waker>,
    disconnect_poll: Option<Pin<Box<Sleep>>>,
}

/// A client's socket. Clones are the same one.
#[derive(Clone)]
pub(super) struct ClientStream(Rc<RefCell<Shared>>);

impl ClientStream {
    /// Nothing is read so far.
    pub(super) fn new(socket: TcpStream) -> ClientStream {
        ClientStream(Rc::new(RefCell::new(Shared {
            socket,
            read_ahead: BytesMut::new(),
            reading: Reading::Head {
                scan: HeadScan::default(),
                begun: false,
            },
            disconnected: false,
            flushed: true,
            waker: None,
            disconnect_poll: None,
        })))
    }

    /// Notes that a head was read completely, and that its body comes in this framing.
    pub(super) fn begin_body(&self, framing: Framing) {
        self.0.borrow_mut().reading = Reading::Body(framing);
    }

    /// Notes that the request was read completely and waits for its response from now on.
    pub(super) fn begin_awaiting_response(&self) {
        let mut shared = self.0.borrow_mut();
        shared.reading = Reading::AwaitingResponse {
            begun: shared.reading.has_begun(),
        };
    }

    /// Notes that the request has its response: hyper reads on.
    pub(super) fn end_request(&self) {
        let mut shared = self.0.borrow_mut();
        shared.reading = Reading::Head {
            scan: HeadScan::default(),
            begun: shared.reading.has_begun(),
        };
        shared.disconnect_poll = None;
        let unread = !shared.read_ahead.is_empty() || shared.disconnected;
        // hyper waits, as nothing was there before.
        if let Some(waker) = shared.waker.take_if(|_| unread) {
            waker.wake();
        }
    }

    /// Whether a request waits for its response.
    pub(super) fn awaits_response(&self) -> bool {
        matches!(self.0.borrow().reading, Reading::AwaitingResponse { .. })
    }

    /// Whether the system has taken all that was written.
    pub(super) fn is_flushed(&self) -> bool {
        self.0.borrow().flushed
    }

    /// Whether the client is known to have disconnected.
    pub(super) fn is_disconnected(&self) -> bool {
        self.0.borrow().disconnected
    }

    /// Whether a part of a request has come that hyper has not read completely.
    pub(super) fn has_begun(&self) -> bool {
        let shared = self.0.borrow();
        !shared.read_ahead.is_empty() || shared.reading.has_begun()
    }

    /// Reads what lies in the socket at this very moment, whatever the runtime knows of it. Returns whether anything
    /// was found: bytes, or the end of the client.
    pub(super) fn read_available(&self) -> bool {
        let mut shared = self.0.borrow_mut();
        let mut found = false;
        while shared.may_read() {
            let mut chunk = [0; READ_CHUNK_LEN];
            let read = (&*SockRef::from(&shared.socket)).read(&mut chunk);
            match read {
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                read => {
                    shared.record_read(read.map(|length| &chunk[..length]));
                    found = true;
                }
            }
        }
        found
    }

    /// Reads ahead until the client has disconnected.
    pub(super) fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut shared = self.0.borrow_mut();
        while shared.may_read() {
            ready!(shared.poll_fill(cx));
        }
        if shared.disconnected {
            return Poll::Ready(());
        }
        shared.poll_disconnected_beyond(cx)
    }
}

/// Closing.
impl ClientStream {
    /// Shuts the side that writes: the client finds the end behind all that was written.
    pub(super) fn shut_write(&self) -> io::Result<()> {
        SockRef::from(&self.0.borrow().socket).shutdown(Shutdown::Write)
    }

    /// Reads once and throws away what came. Returns how much that was: none once the client has disconnected.
    pub(super) fn poll_discard(&self, cx: &mut Context<'_>) -> Poll<usize> {
        let mut chunk = [0; READ_CHUNK_LEN];
        let mut buffer = ReadBuf::new(&mut chunk);
        let read = ready!(Pin::new(&mut self.0.borrow_mut().socket).poll_read(cx, &mut buffer));
        Poll::Ready(read.map_or(0, |()| buffer.filled().len()))
    }
}

impl Shared {
    fn may_read(&self) -> bool {
        !self.disconnected && self.read_ahead.len() < MAX_READ_AHEAD
    }

    fn record_read(&mut self, read: io::Result<&[u8]>) {
        match read {
            Ok([]) | Err(_) => self.disconnected = true,
            Ok(bytes) => self.read_ahead.extend_from_slice(bytes),
        }
    }

    /// Reads once.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.register_waker(cx);
        let mut chunk = [0; READ_CHUNK_LEN];
        let mut buffer = ReadBuf::new(&mut chunk);
        let read = ready!(Pin::new(&mut self.socket).poll_read(cx, &mut buffer));
        self.record_read(read.map(|()| buffer.filled()));
        Poll::Ready(())
    }

    fn register_waker(&mut self, cx: &Context<'_>) {
        if !self
            .waker
            .as_ref()
            .is_some_and(|waker| waker.will_wake(cx.waker()))
        {
            self.waker = Some(cx.waker().clone());
        }
    }

    /// Looks for the end of a client that has sent more than is read ahead: the system shows it without a read.
    fn poll_disconnected_beyond(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let ready = pin!(self.socket.ready(Interest::READABLE)).poll(cx);
            if let Poll::Ready(Ok(ready)) = ready {
                self.disconnected = ready.is_read_closed();
            }
            if self.disconnected {
                return Poll::Ready(());
            }
            let pause = self
                .disconnect_poll
                .get_or_insert_with(|| Box::pin(sleep(DISCONNECT_POLL_INTERVAL)));
            ready!(pause.as_mut().poll(cx));
            self.disconnect_poll = None;
        }
    }

    /// Returns how much of what was read ahead hyper may have now, and notes that it has it.
    fn take_ahead(&mut self, max_len: usize) -> usize {
        let available = &self.read_ahead[..self.read_ahead.len().min(max_len)];
        match &mut self.reading {
            Reading::AwaitingResponse { .. } => 0,
            Reading::Body(framing) => framing.take(available),
            Reading::Head { scan, begun } => {
                *begun = true;
                scan.take(available)
            }
        }
    }

    fn reads_nothing(&self) -> bool {
        match &self.reading {
            Reading::AwaitingResponse { .. } => true,
            Reading::Body(framing) => framing.is_complete(),
            Reading::Head { .. } => false,
        }
    }
}

impl Read for ClientStream {
    /// Hands over no byte beyond the end of a request, as far as that can be told: what follows it stays here, where
    /// it can be seen.
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut into: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut shared = self.0.borrow_mut();
        if shared.reads_nothing() {
            shared.register_waker(cx);
            return Poll::Pending;
        }
        if shared.read_ahead.is_empty() && !shared.disconnected {
            ready!(shared.poll_fill(cx));
        }
        if shared.read_ahead.is_empty() {
            return Poll::Ready(Ok(()));
        }
        let length = shared.take_ahead(into.remaining());
        into.put_slice(&shared.read_ahead[..length]);
        shared.read_ahead.advance(length);
        if shared.read_ahead.is_empty() {
            // Idle connections hold no memory for what they may read.
            shared.read_ahead = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for ClientStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut shared = self.0.borrow_mut();
        shared.flushed = false;
        Pin::new(&mut shared.socket).poll_write(cx, bytes)
    }

    /// hyper flushes once it has written all it had.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut shared = self.0.borrow_mut();
        shared.flushed = true;
        Pin::new(&mut shared.socket).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().socket).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().socket.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut shared = self.0.borrow_mut();
        shared.flushed = false;
        Pin::new(&mut shared.socket).poll_write_vectored(cx, slices)
    }
}
