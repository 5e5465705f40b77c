//! The write of one request, checked at the system call. The request is handed to the connection's task, which writes in
//! a later turn: what was true when it was handed over may be over by then, so that it is checked once more here.
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// How much of a request the system has taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Not a byte: another connection may carry it.
    Unwritten,
    /// Not all: it never runs if the connection ends now.
    Partial,
    /// All: it may run.
    Complete,
}

/// Why a request was not written, or not to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteRefusal {
    /// The request has ended, or nothing more may be written to this upstream.
    Ended,
    /// What its head says has grown too old.
    DeadlineStale,
    /// Bytes or an end of the connection came before the request was written: they are no response to it.
    UnsolicitedInput,
}

type Permission = Box<dyn Fn(Progress) -> Result<(), WriteRefusal>>;

/// The request that a connection carries now, as far as it is written.
pub(super) struct RequestWrite {
    permission: RefCell<Option<Permission>>,
    /// Bytes of it that the system has not taken; known once its first write is tried.
    missing: Cell<Option<usize>>,
    progress: Cell<Progress>,
    /// Something was read while the request was half written.
    has_early_input: Cell<bool>,
    refusal: Cell<Option<WriteRefusal>>,
}

impl RequestWrite {
    /// A connection that carries nothing yet.
    pub(super) fn new() -> Rc<RequestWrite> {
        Rc::new(RequestWrite {
            permission: RefCell::default(),
            missing: Cell::new(None),
            progress: Cell::new(Progress::Unwritten),
            has_early_input: Cell::new(false),
            refusal: Cell::new(None),
        })
    }

    /// A request is about to be handed over. `permission` is checked before each write, until the request is complete.
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

    /// How much of the request has been written.
    pub(super) fn progress(&self) -> Progress {
        self.progress.get()
    }

    /// Why it was not written, if a check refused it.
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

    /// Notes that something was read, or the end of what there is.
    fn note_read(&self) {
        if self.progress.get() == Progress::Partial {
            self.has_early_input.set(true);
        }
    }

    /// Notes that of `offered` bytes `written` were taken. The complete request is offered at its first write: its body is
    /// one piece in memory. Only of a head that fills the write buffer alone the body comes later; such a request
    /// counts as complete too early, which is the safe side.
    fn note_written(&self, offered: usize, written: usize) {
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

/// Whether bytes, an end or an error lie on a connection on which nothing is due. Asks the system itself: the runtime
/// learns only once a turn what has come.
fn has_input(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    !matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// A connection whose writes are checked.
pub(super) struct CheckedStream {
    stream: TcpStream,
    request: Rc<RequestWrite>,
}

impl CheckedStream {
    /// Checks what is written to `stream` for `request`.
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
        this.request.note_read();
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
        this.request.note_written(offered, written);
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
