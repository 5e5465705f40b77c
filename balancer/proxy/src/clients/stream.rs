//! A client socket shared by its connection task and hyper. Owns the bytes that were read but not yet passed to hyper.
//! While a request waits for its response, the connection task reads ahead here, so that a disconnect is detected even
//! behind bytes of the next request.
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

/// Maximum number of bytes read ahead of hyper.
const MAX_READ_AHEAD: usize = 16 << 10;
/// Size of one read, in bytes.
const READ_CHUNK_LEN: usize = 4 << 10;
/// Interval of the check for a disconnected client once the read-ahead buffer is full.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Which part of the input hyper may read now.
enum Reading {
    /// The head of a request; `begun` is set once a part of it was passed to hyper.
    Head { scan: HeadScan, begun: bool },
    /// The body of the open request.
    Body(Framing),
    /// Nothing: the request is complete and waits for its response. `begun` refers to the head of the next request.
    AwaitingResponse { begun: bool },
}

impl Reading {
    /// Whether a part of the next request was passed to hyper.
    fn has_begun(&self) -> bool {
        match self {
            Reading::Body(framing) => framing.may_have_read_beyond(),
            Reading::Head { begun, .. } | Reading::AwaitingResponse { begun } => *begun,
        }
    }
}

struct Shared {
    socket: TcpStream,
    read_ahead: BytesMut,
    reading: Reading,
    /// Whether the client has shut down its write side, or the connection failed.
    disconnected: bool,
    /// Whether the kernel has accepted all output of hyper.
    flushed: bool,
    /// Wakes the connection task while it waits for the socket.
    waker: Option<Waker>,
    disconnect_poll: Option<Pin<Box<Sleep>>>,
}

/// A client socket. Clones share it.
#[derive(Clone)]
pub(super) struct ClientStream(Rc<RefCell<Shared>>);

impl ClientStream {
    /// Creates a stream on which nothing has been read.
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

    /// Marks the request head as complete; its body follows with this framing.
    pub(super) fn begin_body(&self, framing: Framing) {
        self.0.borrow_mut().reading = Reading::Body(framing);
    }

    /// Marks the request as complete and waiting for its response.
    pub(super) fn begin_awaiting_response(&self) {
        let mut shared = self.0.borrow_mut();
        shared.reading = Reading::AwaitingResponse {
            begun: shared.reading.has_begun(),
        };
    }

    /// Marks the request as answered; hyper may read the next one.
    pub(super) fn end_request(&self) {
        let mut shared = self.0.borrow_mut();
        shared.reading = Reading::Head {
            scan: HeadScan::default(),
            begun: shared.reading.has_begun(),
        };
        shared.disconnect_poll = None;
        let unread = !shared.read_ahead.is_empty() || shared.disconnected;
        // hyper found nothing to read before and is waiting.
        if let Some(waker) = shared.waker.take_if(|_| unread) {
            waker.wake();
        }
    }

    /// Whether a request waits for its response.
    pub(super) fn awaits_response(&self) -> bool {
        matches!(self.0.borrow().reading, Reading::AwaitingResponse { .. })
    }

    /// Whether the kernel has accepted all output.
    pub(super) fn is_flushed(&self) -> bool {
        self.0.borrow().flushed
    }

    /// Whether the client is known to have disconnected.
    pub(super) fn is_disconnected(&self) -> bool {
        self.0.borrow().disconnected
    }

    /// Whether a request has been received in part.
    pub(super) fn has_partial_request(&self) -> bool {
        let shared = self.0.borrow();
        !shared.read_ahead.is_empty() || shared.reading.has_begun()
    }

    /// Reads the input available now, regardless of the runtime's readiness state. Returns whether there was any: bytes
    /// or a disconnect.
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
        shared.poll_disconnected_with_full_buffer(cx)
    }
}

/// Closing.
impl ClientStream {
    /// Shuts down the write side: the client sees the end of the stream after all output.
    pub(super) fn shut_write(&self) -> io::Result<()> {
        SockRef::from(&self.0.borrow().socket).shutdown(Shutdown::Write)
    }

    /// Reads once and discards the input. Returns its length, which is zero once the client has disconnected.
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

    /// Detects a disconnect while the read-ahead buffer is full: the readiness state shows it without a read.
    fn poll_disconnected_with_full_buffer(&mut self, cx: &mut Context<'_>) -> Poll<()> {
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

    /// Returns how much of the read-ahead buffer hyper may read now, and counts it as read.
    fn take_read_ahead(&mut self, max_len: usize) -> usize {
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

    fn is_read_blocked(&self) -> bool {
        match &self.reading {
            Reading::AwaitingResponse { .. } => true,
            Reading::Body(framing) => framing.is_complete(),
            Reading::Head { .. } => false,
        }
    }
}

impl Read for ClientStream {
    /// Passes no bytes beyond the end of a request to hyper, as far as the end is known. Later bytes stay in the
    /// read-ahead buffer, where they can be detected.
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut into: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut shared = self.0.borrow_mut();
        if shared.is_read_blocked() {
            shared.register_waker(cx);
            return Poll::Pending;
        }
        if shared.read_ahead.is_empty() && !shared.disconnected {
            ready!(shared.poll_fill(cx));
        }
        if shared.read_ahead.is_empty() {
            return Poll::Ready(Ok(()));
        }
        let length = shared.take_read_ahead(into.remaining());
        into.put_slice(&shared.read_ahead[..length]);
        shared.read_ahead.advance(length);
        if shared.read_ahead.is_empty() {
            // Idle connections hold no read buffer.
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

    /// hyper flushes once it has written all its output.
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
