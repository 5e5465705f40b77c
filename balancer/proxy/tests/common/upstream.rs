//! A fake upstream, and addresses at which no upstream responds.
use super::{read, Message, TEST_TIMEOUT};
use balancer_lab::net::{Port, PortMode};
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// What a fake upstream does with a request.
pub(crate) enum UpstreamAction {
    /// Writes this response and keeps the connection open.
    Respond(String),
    /// Writes this response and closes the connection.
    RespondAndClose(String),
    /// Closes the connection without a response.
    Close,
    /// Never responds; the connection stays open until the other side closes it.
    NeverRespond,
    /// Waits for a signal on the channel, then writes this response.
    RespondAfterSignal(Receiver<()>, String),
}

pub(crate) fn ok(body: &str) -> UpstreamAction {
    UpstreamAction::Respond(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

pub(crate) fn status(line: &str) -> UpstreamAction {
    UpstreamAction::Respond(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n"))
}

/// What a fake upstream observed.
#[derive(Debug)]
pub(crate) enum UpstreamEvent {
    Request(Message),
    /// A connection was closed, by either side.
    Closed,
}

pub(crate) struct Upstream {
    pub addr: SocketAddr,
    pub events: Receiver<UpstreamEvent>,
    pub connections: Arc<AtomicUsize>,
}

impl Upstream {
    pub(crate) fn start(
        behavior: impl Fn(&Message) -> UpstreamAction + Send + Sync + 'static,
    ) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let addr = listener.local_addr().expect("socket address");
        let (events_tx, events) = channel();
        let connections = Arc::new(AtomicUsize::new(0));
        let (behavior, count) = (Arc::new(behavior), connections.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::SeqCst);
                let (behavior, events_tx) = (behavior.clone(), events_tx.clone());
                thread::spawn(move || serve(stream, &*behavior, &events_tx));
            }
        });
        Upstream {
            addr,
            events,
            connections,
        }
    }

    /// Waits for the next request.
    pub(crate) fn request(&self) -> Message {
        loop {
            match self
                .events
                .recv_timeout(TEST_TIMEOUT)
                .expect("a request at the upstream")
            {
                UpstreamEvent::Request(request) => return request,
                UpstreamEvent::Closed => {}
            }
        }
    }

    /// Waits until a connection has been closed.
    pub(crate) fn wait_until_closed(&self) {
        while !matches!(
            self.events
                .recv_timeout(TEST_TIMEOUT)
                .expect("a closed connection"),
            UpstreamEvent::Closed
        ) {}
    }

    /// The number of requests that have arrived since the last one read.
    pub(crate) fn additional_requests(&self) -> usize {
        self.events
            .try_iter()
            .filter(|event| matches!(event, UpstreamEvent::Request(_)))
            .count()
    }
}

fn serve(
    stream: TcpStream,
    behavior: &dyn Fn(&Message) -> UpstreamAction,
    events_tx: &Sender<UpstreamEvent>,
) {
    let mut stream = BufReader::new(stream);
    while let Some(request) = read(&mut stream) {
        let action = behavior(&request);
        let _ = events_tx.send(UpstreamEvent::Request(request));
        match action {
            UpstreamAction::Respond(text) => {
                let _ = stream.get_mut().write_all(text.as_bytes());
            }
            UpstreamAction::RespondAndClose(text) => {
                let _ = stream.get_mut().write_all(text.as_bytes());
                break;
            }
            UpstreamAction::Close => break,
            UpstreamAction::NeverRespond => {}
            UpstreamAction::RespondAfterSignal(signal, text) => {
                let _ = signal.recv_timeout(TEST_TIMEOUT);
                let _ = stream.get_mut().write_all(text.as_bytes());
            }
        }
    }
    drop(stream);
    let _ = events_tx.send(UpstreamEvent::Closed);
}

/// An address that refuses connections. Its socket is bound without listening until the test process ends, so that no
/// other test's upstream gets the same port.
pub(crate) fn refusing() -> SocketAddr {
    static BOUND: Mutex<Vec<Socket>> = Mutex::new(Vec::new());
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any_port.into()).expect("a free port");
    let address = socket.local_addr().expect("socket address");
    BOUND.lock().expect("no panic while locked").push(socket);
    address.as_socket().expect("an IP address")
}

/// An address at which no connection is established until [`Unreachable::start_accepting`].
pub(crate) struct Unreachable {
    pub addr: SocketAddr,
    runtime: Runtime,
    port: Port,
    mode: watch::Sender<PortMode>,
}

impl Unreachable {
    pub(crate) fn start() -> Unreachable {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("build a runtime");
        // Each instance has its own loopback address: a free port on the shared one could be taken by another test
        // meanwhile.
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
        let (mode, mode_rx) = watch::channel(PortMode::Unresponsive);
        let port = runtime
            .block_on(async { Port::bind(addr, mode_rx) })
            .expect("bind");
        Unreachable {
            addr,
            runtime,
            port,
            mode,
        }
    }

    /// Lets connections be established from now on, and returns the first one.
    pub(crate) fn start_accepting(mut self) -> BufReader<TcpStream> {
        self.mode.send_replace(PortMode::Open);
        let accepted = self
            .runtime
            .block_on(self.port.accept())
            .expect("accept")
            .expect("a connection");
        let stream = accepted.into_std().expect("convert the stream");
        stream.set_nonblocking(false).expect("set blocking");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("set timeout");
        BufReader::new(stream)
    }
}
