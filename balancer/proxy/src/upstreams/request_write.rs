//! Checks each write of a request immediately before the system call. The connection task writes a request some time
//! after receiving it, so the conditions for sending it may no longer hold and are checked again here.
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// How much of a request the kernel has accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Nothing: another connection may carry the request.
    Unwritten,
    /// A part: the request does not run if the connection ends now.
    Partial,
    /// All: the request may run.
    Complete,
}

/// Why a request was not written or only in part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteRefusal {
    /// The request has ended, or nothing more may be written to this upstream.
    Ended,
    /// The remaining time in the deadline header is outdated.
    DeadlineStale,
    /// Input or the end of the connection arrived before the request was written, so it is no response to the request.
    UnsolicitedInput,
}

type Permission = Box<dyn Fn(Progress) -> Result<(), WriteRefusal>>;

/// The state of writing the current request of a connection.
pub(super) struct RequestWrite {
    permission: RefCell<Option<Permission>>,
    /// Number of bytes that the kernel has not accepted yet; `None` before the first write.
    missing: Cell<Option<usize>>,
    progress: Cell<Progress>,
    /// Whether input arrived while the request was partially written.
    has_early_input: Cell<bool>,
    refusal: Cell<Option<WriteRefusal>>,
}

impl RequestWrite {
    /// Creates the state of a connection without a request.
    pub(super) fn new() -> Rc<RequestWrite> {
        Rc::new(RequestWrite {
            permission: RefCell::default(),
            missing: Cell::new(None),
            progress: Cell::new(Progress::Unwritten),
            has_early_input: Cell::new(false),
            refusal: Cell::new(None),
        })
    }

    /// Begins a new request. `permission` is checked before each write until the request is complete.
    pub(super) fn begin(
        &self,
        permission: impl Fn(Progress) -> Result<(), WriteRefusal> + 'static,
    ) {
        *self.permission.borrow_mut() = Some(Box::new(permission));
        self.missing.set(None);
        self.progress.set(Progress::Unwritten);
        self.has_early_input.set(false);
        self.refusal.set(None);
    }

    /// Returns how much of the request has been written.
    pub(super) fn progress(&self) -> Progress {
        self.progress.get()
    }

    /// Returns why a check refused a write, if one did.
    pub(super) fn refusal(&self) -> Option<WriteRefusal> {
        self.refusal.get()
    }

    /// Checks whether the next bytes may be written.
    fn check(&self, stream: &TcpStream) -> Result<(), WriteRefusal> {
        let progress = self.progress.get();
        if progress == Progress::Complete {
            return Ok(());
        }
        if let Some(permission) = &*self.permission.borrow() {
            permission(progress)?;
        }
        if self.has_early_input.get() || has_input(stream) {
            return Err(WriteRefusal::UnsolicitedInput);
        }
        Ok(())
    }

    /// Records that input or the end of the stream was read.
    fn record_read(&self) {
        if self.progress.get() == Progress::Partial {
            self.has_early_input.set(true);
        }
    }

    /// Records that `written` of `offered` bytes were accepted. The first write offers the complete request, because
    /// its body is a single buffer. If the head alone fills hyper's write buffer, the body follows later, and the
    /// request counts as complete too early; that is safe, because a complete request is not written again.
    fn record_written(&self, offered: usize, written: usize) {
        let missing = self
            .missing
            .get()
            .unwrap_or(offered)
            .saturating_sub(written);
        self.missing.set(Some(missing));
        self.progress.set(if missing == 0 {
            Progress::Complete
        } else {
            Progress::Partial
        });
    }
}

/// Whether input, the end of the stream or an error is pending on a connection that expects none. Makes a system call,
/// because the runtime polls for I/O only once per turn.
fn has_input(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    !matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// A stream whose writes are checked.
pub(super) struct CheckedStream {
    stream: TcpStream,
    request: Rc<RequestWrite>,
}

impl CheckedStream {
    /// Creates a stream that checks the writes of `request` to `stream`.
    pub(super) fn new(stream: TcpStream, request: Rc<RequestWrite>) -> CheckedStream {
        CheckedStream { stream, request }
    }
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buffer))?;
        this.request.record_read();
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        pieces: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if let Err(refusal) = this.request.check(&this.stream) {
            this.request.refusal.set(Some(refusal));
            return Poll::Ready(Err(ErrorKind::ConnectionAborted.into()));
        }
        let offered = pieces.iter().map(|piece| piece.len()).sum();
        let written = ready!(Pin::new(&mut this.stream).poll_write_vectored(cx, pieces))?;
        this.request.record_written(offered, written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
