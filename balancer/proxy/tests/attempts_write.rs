//! The check before each write of a request, on real sockets and with an injected condition. Each test covers an event
//! between handing over a request and writing it.
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
/// More than the socket buffers of both ends hold.
const LARGE: usize = 32 << 20;

/// A checked connection, its check, and the upstream end.
struct Pair {
    stream: CheckedStream,
    request: Rc<RequestWrite>,
    /// A second handle on the connection, to peek at received bytes.
    probe: TcpStream,
    upstream: TcpStream,
}

impl Pair {
    fn new() -> Pair {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let stream =
            TcpStream::connect(listener.local_addr().expect("socket address")).expect("connect");
        let upstream = listener.accept().expect("accept").0;
        upstream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("set timeout");
        stream.set_nonblocking(true).expect("set nonblocking");
        let probe = stream.try_clone().expect("clone the socket");
        let stream = tokio::net::TcpStream::from_std(stream).expect("convert the stream");
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

    /// Tries to write once, without waiting for buffer space.
    fn write_now(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut cx = Context::from_waker(Waker::noop());
        match Pin::new(&mut self.stream).poll_write_vectored(&mut cx, &[IoSlice::new(bytes)]) {
            Poll::Ready(written) => written,
            Poll::Pending => Ok(0),
        }
    }

    /// Writes until the socket buffers are full, and returns the number of bytes written.
    async fn write_until_full(&mut self, bytes: &[u8]) -> usize {
        let mut written = self.write(bytes).await.expect("accepts some bytes");
        let mut cx = Context::from_waker(Waker::noop());
        while let Poll::Ready(count) = Pin::new(&mut self.stream)
            .poll_write_vectored(&mut cx, &[IoSlice::new(&bytes[written..])])
        {
            written += count.expect("accepts some bytes");
        }
        written
    }

    /// Waits until this number of bytes from the upstream has arrived; 0 stands for its FIN.
    fn wait_for_input(&self, bytes: usize) {
        let began = Instant::now();
        while !matches!(self.probe.peek(&mut [0; 64]), Ok(n) if n == bytes) {
            assert!(
                began.elapsed() < Duration::from_secs(20),
                "the input did not arrive"
            );
            std::thread::yield_now();
        }
    }

    /// Closes the connection and returns the bytes that the upstream received.
    fn received(self) -> Vec<u8> {
        let Pair {
            stream,
            probe,
            mut upstream,
            ..
        } = self;
        drop((stream, probe));
        let mut got = Vec::new();
        // Unread bytes that the upstream sent may turn the close into a reset.
        let _ = upstream.read_to_end(&mut got);
        got
    }
}

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("build a runtime");
    runtime.block_on(test);
}

fn assert_refused(written: io::Result<usize>) {
    assert_eq!(
        written.expect_err("the write succeeded").kind(),
        io::ErrorKind::ConnectionAborted
    );
}

#[test]
fn permitted_request_is_complete_after_last_byte() {
    run(async {
        let mut pair = Pair::new();
        pair.request.begin(|_| Ok(()));
        assert_eq!(pair.request.progress(), Progress::Unwritten);
        assert_eq!(pair.write(REQUEST).await.expect("write"), REQUEST.len());
        assert_eq!(
            (pair.request.progress(), pair.request.refusal()),
            (Progress::Complete, None)
        );
        assert_eq!(pair.received(), REQUEST);
    });
}

#[test]
fn nothing_is_written_for_a_request_already_ended() {
    run(async {
        for why in [WriteRefusal::Ended, WriteRefusal::DeadlineStale] {
            let mut pair = Pair::new();
            let ended = Rc::new(Cell::new(false));
            let has_ended = ended.clone();
            pair.request
                .begin(move |_| if has_ended.get() { Err(why) } else { Ok(()) });
            ended.set(true);
            assert_refused(pair.write(REQUEST).await);
            assert_eq!(
                (pair.request.progress(), pair.request.refusal()),
                (Progress::Unwritten, Some(why))
            );
            assert_eq!(pair.received(), b"");
        }
    });
}

#[test]
fn pending_input_prevents_reuse_of_idle_connection() {
    run(async {
        let mut pair = Pair::new();
        // One request has been served on the connection; a late second response arrives, not yet seen by the runtime.
        pair.request.begin(|_| Ok(()));
        pair.write(REQUEST).await.expect("write");
        pair.request.begin(|_| Ok(()));
        pair.upstream
            .write_all(b"HTTP/1.1 200 OK\r\n")
            .expect("write");
        pair.wait_for_input(17);
        assert_refused(pair.write(REQUEST).await);
        let seen = (pair.request.progress(), pair.request.refusal());
        assert_eq!(
            seen,
            (Progress::Unwritten, Some(WriteRefusal::UnsolicitedInput))
        );
        assert_eq!(pair.received(), REQUEST, "only the first request");
    });
}

#[test]
fn pending_fin_prevents_reuse_of_idle_connection() {
    run(async {
        let mut pair = Pair::new();
        pair.request.begin(|_| Ok(()));
        pair.upstream
            .shutdown(Shutdown::Write)
            .expect("shut down the write side");
        pair.wait_for_input(0);
        assert_refused(pair.write(REQUEST).await);
        let seen = (pair.request.progress(), pair.request.refusal());
        assert_eq!(
            seen,
            (Progress::Unwritten, Some(WriteRefusal::UnsolicitedInput))
        );
        assert_eq!(pair.received(), b"");
    });
}

#[test]
fn pending_reset_prevents_reuse_of_idle_connection() {
    run(async {
        let mut pair = Pair::new();
        pair.request.begin(|_| Ok(()));
        socket2::SockRef::from(&pair.upstream)
            .set_linger(Some(Duration::ZERO))
            .expect("set linger");
        drop(std::mem::replace(
            &mut pair.upstream,
            pair.probe.try_clone().expect("clone the socket"),
        ));
        // Either read of the socket error may consume it, as the kernel reports it once; the end of the stream
        // remains.
        while matches!(pair.probe.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock) {
        }
        assert_refused(pair.write(REQUEST).await);
        assert_eq!(pair.request.refusal(), Some(WriteRefusal::UnsolicitedInput));
    });
}

#[test]
fn partially_written_request_stops_when_it_ends() {
    run(async {
        let mut pair = Pair::new();
        let ended = Rc::new(Cell::new(false));
        let has_ended = ended.clone();
        pair.request.begin(move |_| {
            if has_ended.get() {
                Err(WriteRefusal::Ended)
            } else {
                Ok(())
            }
        });
        let large = vec![b'x'; LARGE];
        let written = pair.write_until_full(&large).await;
        assert!(written < LARGE);
        assert_eq!(pair.request.progress(), Progress::Partial);
        ended.set(true);
        assert_refused(pair.write_now(&large[written..]));
        assert_eq!(
            (pair.request.progress(), pair.request.refusal()),
            (Progress::Partial, Some(WriteRefusal::Ended))
        );
        assert_eq!(pair.received().len(), written);
    });
}

#[test]
fn early_response_stops_the_rest_of_a_request() {
    run(async {
        // The early response is either read before the next write, or still unread.
        for with_read in [true, false] {
            let mut pair = Pair::new();
            pair.request.begin(|_| Ok(()));
            let large = vec![b'x'; LARGE];
            let written = pair.write_until_full(&large).await;
            pair.upstream.write_all(b"early").expect("write");
            pair.wait_for_input(5);
            if with_read {
                let (mut bytes, mut got) = ([0; 5], 0);
                while got < 5 {
                    let mut buffer = ReadBuf::new(&mut bytes[got..]);
                    let reads = poll_fn(|cx| Pin::new(&mut pair.stream).poll_read(cx, &mut buffer));
                    reads.await.expect("read");
                    got += buffer.filled().len();
                }
            }
            assert_refused(pair.write_now(&large[written..]));
            let seen = (pair.request.progress(), pair.request.refusal());
            assert_eq!(
                seen,
                (Progress::Partial, Some(WriteRefusal::UnsolicitedInput))
            );
        }
    });
}
