//! A fake upstream, and addresses where there is none.
use super::{read, Message, TEST_TIMEOUT};
use balancer_lab::net::{Manner, Port};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread;
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// What a fake upstream does with a request.
pub(crate) enum Then {
    /// Writes this and keeps the connection.
    Answer(String),
    /// Writes this and closes the connection.
    AnswerAndClose(String),
    /// Closes the connection without an answer.
    Hang,
    /// Says nothing until the other side closes.
    Wait,
    /// Waits for a word on the channel, then answers.
    Hold(Receiver<()>, String),
}

pub(crate) fn ok(body: &str) -> Then {
    Then::Answer(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

pub(crate) fn status(line: &str) -> Then {
    Then::Answer(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n"))
}

/// What a fake upstream saw.
#[derive(Debug)]
pub(crate) enum Seen {
    Request(Message),
    /// A connection has been closed, by either side.
    Closed,
}

pub(crate) struct Upstream {
    pub addr: SocketAddr,
    pub seen: Receiver<Seen>,
    pub connections: Arc<AtomicUsize>,
}

impl Upstream {
    pub(crate) fn start(behave: impl Fn(&Message) -> Then + Send + Sync + 'static) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("an address");
        let (tell, seen) = channel();
        let connections = Arc::new(AtomicUsize::new(0));
        let (behave, count) = (Arc::new(behave), connections.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::SeqCst);
                let (behave, tell) = (behave.clone(), tell.clone());
                thread::spawn(move || serve(stream, &*behave, &tell));
            }
        });
        Upstream {
            addr,
            seen,
            connections,
        }
    }

    /// The next request.
    pub(crate) fn request(&self) -> Message {
        loop {
            match self
                .seen
                .recv_timeout(TEST_TIMEOUT)
                .expect("a request at the upstream")
            {
                Seen::Request(m) => return m,
                Seen::Closed => {}
            }
        }
    }

    /// Waits until a connection has been closed.
    pub(crate) fn closed(&self) {
        while !matches!(
            self.seen
                .recv_timeout(TEST_TIMEOUT)
                .expect("a closed connection"),
            Seen::Closed
        ) {}
    }

    /// How many further requests have come.
    pub(crate) fn additional_requests(&self) -> usize {
        self.seen
            .try_iter()
            .filter(|s| matches!(s, Seen::Request(_)))
            .count()
    }
}

fn serve(stream: TcpStream, behave: &dyn Fn(&Message) -> Then, tell: &Sender<Seen>) {
    let mut stream = BufReader::new(stream);
    while let Some(request) = read(&mut stream) {
        let then = behave(&request);
        let _ = tell.send(Seen::Request(request));
        match then {
            Then::Answer(text) => {
                let _ = stream.get_mut().write_all(text.as_bytes());
            }
            Then::AnswerAndClose(text) => {
                let _ = stream.get_mut().write_all(text.as_bytes());
                break;
            }
            Then::Hang => break,
            Then::Wait => {}
            Then::Hold(mode, text) => {
                let _ = mode.recv_timeout(TEST_TIMEOUT);
                let _ = stream.get_mut().write_all(text.as_bytes());
            }
        }
    }
    drop(stream);
    let _ = tell.send(Seen::Closed);
}

/// An address that refuses connections.
pub(crate) fn refusing() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("an address")
}

/// An address where connections never come up, until they may.
pub(crate) struct Unreachable {
    pub addr: SocketAddr,
    runtime: Runtime,
    port: Port,
    manner: watch::Sender<Manner>,
}

impl Unreachable {
    pub(crate) fn start() -> Unreachable {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        // An address of its own: a port that was free on the common one may be taken by another test meanwhile.
        static NUMBER: AtomicUsize = AtomicUsize::new(1);
        let (number, process) = (
            NUMBER.fetch_add(1, Ordering::SeqCst),
            std::process::id() as usize,
        );
        let ip = [
            127,
            88 + (process >> 8 & 31) as u8,
            process as u8,
            number as u8,
        ];
        let addr = SocketAddr::from((ip, refusing().port()));
        let (manner, watched) = watch::channel(Manner::Unresponsive);
        let port = runtime
            .block_on(async { Port::bind(addr, watched) })
            .expect("binds");
        Unreachable {
            addr,
            runtime,
            port,
            manner,
        }
    }

    /// Lets connections come up after all, and returns the first that another made.
    pub(crate) fn reach(mut self) -> BufReader<TcpStream> {
        self.manner.send_replace(Manner::Open);
        let accepted = self
            .runtime
            .block_on(self.port.accept())
            .expect("accepts")
            .expect("a connection");
        let stream = accepted.into_std().expect("a stream");
        stream.set_nonblocking(false).expect("blocks");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        BufReader::new(stream)
    }
}
