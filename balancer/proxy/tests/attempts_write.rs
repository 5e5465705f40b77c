//! The check at the write of a request, on real sockets and with what it asks injected: each test stands for something
//! that comes between handing a request over and writing it.
#[allow(dead_code)]
#[path = "../src/upstreams/request_write.rs"]
mod request_write;

use request_write::{CheckedStream, Progress, RequestWrite, WriteRefusal};
use std::cell::Cell;
use std::future::poll_fn;
use std::io::{self, IoSlice, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

const REQUEST: &[u8] = b"GET /api HTTP/1.1\r\n\r\n";
/// More than the buffers of both ends hold.
const LARGE: usize = 32 << 20;

/// A checked connection, its check and the upstream's end.
struct Pair {
    stream: CheckedStream,
    request: Rc<RequestWrite>,
    /// The same connection, to see what has come.
    probe: TcpStream,
    upstream: TcpStream,
}

impl Pair {
    fn new() -> Pair {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let stream =
            TcpStream::connect(listener.local_addr().expect("an address")).expect("connects");
        let upstream = listener.accept().expect("accepts").0;
        upstream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("a time-out");
        stream.set_nonblocking(true).expect("does not block");
        let probe = stream.try_clone().expect("a second handle");
        let stream = tokio::net::TcpStream::from_std(stream).expect("a stream");
        let request = RequestWrite::new();
        Pair {
            stream: CheckedStream::new(stream, request.clone()),
            request,
            probe,
            upstream,
        }
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        poll_fn(|cx| Pin::new(&mut self.stream).poll_write_vectored(cx, &[IoSlice::new(bytes)]))
            .await
    }

    /// Tries to write, without waiting until the system takes more.
    fn write_now(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut cx = Context::from_waker(Waker::noop());
        match Pin::new(&mut self.stream).poll_write_vectored(&mut cx, &[IoSlice::new(bytes)]) {
            Poll::Ready(written) => written,
            Poll::Pending => Ok(0),
        }
    }

    /// Writes until the system takes no more, and returns how much it took.
    async fn fill(&mut self, bytes: &[u8]) -> usize {
        let mut taken = self.write(bytes).await.expect("takes some");
        let mut cx = Context::from_waker(Waker::noop());
        while let Poll::Ready(more) = Pin::new(&mut self.stream)
            .poll_write_vectored(&mut cx, &[IoSlice::new(&bytes[taken..])])
        {
            taken += more.expect("takes some");
        }
        taken
    }

    /// Waits until what the upstream did last has come: some bytes, or the end.
    fn arrives(&self, bytes: usize) {
        let began = Instant::now();
        while !matches!(self.probe.peek(&mut [0; 64]), Ok(n) if n == bytes) {
            assert!(
                began.elapsed() < Duration::from_secs(20),
                "it does not arrive"
            );
            std::thread::yield_now();
        }
    }

    /// What the upstream gets until the connection ends.
    fn got(self) -> Vec<u8> {
        let Pair {
            stream,
            probe,
            mut upstream,
            ..
        } = self;
        drop((stream, probe));
        let mut got = Vec::new();
        // What it has sent itself may turn the end into a reset.
        let _ = upstream.read_to_end(&mut got);
        got
    }
}

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(test);
}

fn refusal(written: io::Result<usize>) {
    assert_eq!(
        written.expect_err("it was written").kind(),
        io::ErrorKind::ConnectionAborted
    );
}

#[test]
fn a_request_that_may_be_written_is_complete_with_its_last_byte() {
    run(async {
        let mut pair = Pair::new();
        pair.request.begin(|_| Ok(()));
        assert_eq!(pair.request.progress(), Progress::Unwritten);
        assert_eq!(pair.write(REQUEST).await.expect("written"), REQUEST.len());
        assert_eq!(
            (pair.request.progress(), pair.request.refusal()),
            (Progress::Complete, None)
        );
        assert_eq!(pair.got(), REQUEST);
    });
}

#[test]
fn nothing_is_written_for_a_request_that_ended_after_it_was_handed_over() {
    run(async {
        for why in [WriteRefusal::Ended, WriteRefusal::DeadlineStale] {
            let mut pair = Pair::new();
            let over = Rc::new(Cell::new(false));
            let has_ended = over.clone();
            pair.request
                .begin(move |_| if has_ended.get() { Err(why) } else { Ok(()) });
            over.set(true);
            refusal(pair.write(REQUEST).await);
            assert_eq!(
                (pair.request.progress(), pair.request.refusal()),
                (Progress::Unwritten, Some(why))
            );
            assert_eq!(pair.got(), b"");
        }
    });
}

#[test]
fn bytes_that_lie_on_an_idle_connection_keep_a_request_off_it() {
    run(async {
        let mut pair = Pair::new();
        // Carried one before: its answer was whole, and a second one comes late, unseen by the runtime.
        pair.request.begin(|_| Ok(()));
        pair.write(REQUEST).await.expect("written");
        pair.request.begin(|_| Ok(()));
        pair.upstream
            .write_all(b"HTTP/1.1 200 OK\r\n")
            .expect("writes");
        pair.arrives(17);
        refusal(pair.write(REQUEST).await);
        let seen = (pair.request.progress(), pair.request.refusal());
        assert_eq!(
            seen,
            (Progress::Unwritten, Some(WriteRefusal::UnsolicitedInput))
        );
        assert_eq!(pair.got(), REQUEST, "the first request alone");
    });
}

#[test]
fn an_end_that_lies_on_an_idle_connection_keeps_a_request_off_it() {
    run(async {
        let mut pair = Pair::new();
        pair.request.begin(|_| Ok(()));
        pair.upstream
            .shutdown(Shutdown::Write)
            .expect("ends its side");
        pair.arrives(0);
        refusal(pair.write(REQUEST).await);
        let seen = (pair.request.progress(), pair.request.refusal());
        assert_eq!(
            seen,
            (Progress::Unwritten, Some(WriteRefusal::UnsolicitedInput))
        );
        assert_eq!(pair.got(), b"");
    });
}

#[test]
fn a_reset_that_lies_on_an_idle_connection_keeps_a_request_off_it() {
    run(async {
        let mut pair = Pair::new();
        pair.request.begin(|_| Ok(()));
        socket2::SockRef::from(&pair.upstream)
            .set_linger(Some(Duration::ZERO))
            .expect("lingers not");
        drop(std::mem::replace(
            &mut pair.upstream,
            pair.probe.try_clone().expect("a handle"),
        ));
        // Either look at it may find the error, which the system tells once; the end stays.
        while matches!(pair.probe.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock) {
        }
        refusal(pair.write(REQUEST).await);
        assert_eq!(pair.request.refusal(), Some(WriteRefusal::UnsolicitedInput));
    });
}

#[test]
fn a_request_that_ends_half_written_is_not_finished() {
    run(async {
        let mut pair = Pair::new();
        let over = Rc::new(Cell::new(false));
        let has_ended = over.clone();
        pair.request.begin(move |_| {
            if has_ended.get() {
                Err(WriteRefusal::Ended)
            } else {
                Ok(())
            }
        });
        let large = vec![b'x'; LARGE];
        let taken = pair.fill(&large).await;
        assert!(taken < LARGE);
        assert_eq!(pair.request.progress(), Progress::Partial);
        over.set(true);
        refusal(pair.write_now(&large[taken..]));
        assert_eq!(
            (pair.request.progress(), pair.request.refusal()),
            (Progress::Partial, Some(WriteRefusal::Ended))
        );
        assert_eq!(pair.got().len(), taken);
    });
}

#[test]
fn an_answer_to_half_a_request_keeps_the_rest_back() {
    run(async {
        // Seen by a read before the next write, or lying there unread.
        for with_read in [true, false] {
            let mut pair = Pair::new();
            pair.request.begin(|_| Ok(()));
            let large = vec![b'x'; LARGE];
            let taken = pair.fill(&large).await;
            pair.upstream.write_all(b"early").expect("writes");
            pair.arrives(5);
            if with_read {
                let (mut bytes, mut got) = ([0; 5], 0);
                while got < 5 {
                    let mut buffer = ReadBuf::new(&mut bytes[got..]);
                    let reads = poll_fn(|cx| Pin::new(&mut pair.stream).poll_read(cx, &mut buffer));
                    reads.await.expect("reads");
                    got += buffer.filled().len();
                }
            }
            refusal(pair.write_now(&large[taken..]));
            let seen = (pair.request.progress(), pair.request.refusal());
            assert_eq!(
                seen,
                (Progress::Partial, Some(WriteRefusal::UnsolicitedInput))
            );
        }
    });
}
