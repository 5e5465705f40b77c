//! Connections between coordinators, with framed messages: each way one for entries and states, and one for what must
//! not wait behind them.
use super::events::Event;
use magpiegap_protocol::{decode, encode, Envelope, PeerMessage, ReplicaId};
use std::{
    collections::HashMap,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    sync::{
        mpsc::{self, Sender, UnboundedSender},
        Notify,
    },
    time::timeout,
};

/// Longest frame, in bytes.
const MAX_FRAME: u32 = 64 << 20;
/// A frame of about this many bytes takes no more messages, so that it can be written in time.
const FULL_FRAME: usize = 1 << 20;
/// Bytes read from a connection at once: most frames come whole.
const READ_BUFFER: usize = 64 << 10;
/// Messages that wait for one peer; more are dropped, and asked for again by those that miss them.
const MAX_WAITING: usize = 4000;
/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a peer may take no byte of a frame.
const WRITE_SILENCE: Duration = Duration::from_millis(2000);
/// Data that is not acknowledged for this long breaks the connection.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1000);
/// Pause after a connection that did not come up.
const PAUSE: Duration = Duration::from_millis(100);

/// One connection to another coordinator.
struct Lane {
    messages: Sender<PeerMessage>,
    /// Wakes the writer when the process at the other end is a new one.
    restarted: Arc<Notify>,
}

impl Lane {
    /// A connection that is made once there is something to write.
    fn start(own: ReplicaId, address: SocketAddr) -> Lane {
        let (messages, inbox) = mpsc::channel(MAX_WAITING);
        let restarted = Arc::new(Notify::new());
        tokio::spawn(write_to(own, address, inbox, restarted.clone()));
        Lane {
            messages,
            restarted,
        }
    }
}

/// The way to one other coordinator.
struct PeerLink {
    urgent: Lane,
    data: Lane,
    /// The life of the process that was last heard there.
    heard: Option<ReplicaId>,
}

/// The way to other coordinators.
pub(super) struct Peers {
    own: ReplicaId,
    port: u16,
    links: HashMap<u32, PeerLink>,
}

impl Peers {
    /// Sends a message to the coordinator at an address; it may be lost.
    pub(super) fn send(&mut self, to: u32, message: PeerMessage) {
        let link = self.link(to);
        let lane = if message.is_urgent() {
            &link.urgent
        } else {
            &link.data
        };
        let _ = lane.messages.try_send(message);
    }

    /// A coordinator was heard: if its process is a new one, the connection to the old one is of no use.
    pub(super) fn heard(&mut self, from: ReplicaId) {
        let link = self.link(from.member.address);
        if link.heard.replace(from) != Some(from) {
            link.urgent.restarted.notify_one();
            link.data.restarted.notify_one();
        }
    }

    fn link(&mut self, address: u32) -> &mut PeerLink {
        let (own, port) = (self.own, self.port);
        self.links.entry(address).or_insert_with(|| {
            let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::from(address)), port);
            PeerLink {
                urgent: Lane::start(own, address),
                data: Lane::start(own, address),
                heard: None,
            }
        })
    }
}

/// Listens for other coordinators.
///
/// # Errors
/// When the port can't be listened on.
pub(super) async fn start(
    own: ReplicaId,
    ip: Ipv4Addr,
    port: u16,
    events: UnboundedSender<Event>,
) -> io::Result<Peers> {
    let listener = TcpListener::bind(SocketAddr::new(IpAddr::V4(ip), port)).await?;
    tokio::spawn(accept(listener, port, events));
    Ok(Peers {
        own,
        port,
        links: HashMap::new(),
    })
}

async fn accept(listener: TcpListener, port: u16, events: UnboundedSender<Event>) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let events = events.clone();
                tokio::spawn(async move {
                    read_from(stream, &events).await;
                    report_end(address.ip(), port, &events).await;
                });
            }
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// Looks whether a peer whose connection has ended has ended too.
async fn report_end(ip: IpAddr, port: u16, events: &UnboundedSender<Event>) {
    let IpAddr::V4(address) = ip else { return };
    let again = timeout(
        CONNECT_TIMEOUT,
        TcpStream::connect(SocketAddr::new(ip, port)),
    )
    .await;
    if matches!(&again, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused) {
        let _ = events.send(Event::ConnectionRefused(u32::from(address)));
    }
}

/// Reads frames until the connection ends or brings something else.
async fn read_from(stream: TcpStream, events: &UnboundedSender<Event>) {
    set_options(&stream);
    let mut stream = BufReader::with_capacity(READ_BUFFER, stream);
    while let Ok(length) = stream.read_u32().await {
        if length > MAX_FRAME {
            log::warn!("a peer's frame of {length} bytes is too long");
            return;
        }
        let mut frame = Vec::new();
        let mut part = (&mut stream).take(u64::from(length));
        match part.read_to_end(&mut frame).await {
            Ok(read) if read == length as usize => {}
            _ => return,
        }
        match decode::<Envelope>(&frame) {
            Ok(envelope) => {
                let event = Event::Peer {
                    from: envelope.from,
                    messages: envelope.messages,
                };
                if events.send(event).is_err() {
                    return;
                }
            }
            Err(error) => {
                log::warn!("a peer's frame: {error}");
                return;
            }
        }
    }
}

/// Writes what waits, on a connection that is made anew whenever it breaks or the other end has started anew.
async fn write_to(
    own: ReplicaId,
    address: SocketAddr,
    mut inbox: mpsc::Receiver<PeerMessage>,
    restarted: Arc<Notify>,
) {
    let mut connection: Option<TcpStream> = None;
    loop {
        let first = tokio::select! {
            biased;
            () = restarted.notified() => {
                connection = None;
                continue;
            }
            first = inbox.recv() => first,
        };
        let Some(first) = first else { return };
        let mut bytes = first.estimated_bytes();
        let mut messages = vec![first];
        while bytes < FULL_FRAME {
            let Ok(more) = inbox.try_recv() else { break };
            bytes += more.estimated_bytes();
            messages.push(more);
        }
        if connection.is_none() {
            connection = connect_to(address, &restarted).await;
        }
        let Some(stream) = connection.as_mut() else {
            continue;
        };
        let frame = frame(own, messages);
        if write_while_bytes_go(stream, &frame).await.is_err() {
            connection = None;
        }
    }
}

/// Writes a frame as long as the other end takes bytes of it: a large one may take any time.
async fn write_while_bytes_go(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    let mut left = frame;
    while !left.is_empty() {
        let written = timeout(WRITE_SILENCE, stream.write(left))
            .await
            .map_err(|_| io::ErrorKind::TimedOut)??;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        left = &left[written..];
    }
    Ok(())
}

/// A connection, or none after a pause. A process that starts meanwhile is tried at once.
async fn connect_to(address: SocketAddr, restarted: &Notify) -> Option<TcpStream> {
    let attempt = async {
        let connection = connect(address).await;
        if connection.is_none() {
            tokio::time::sleep(PAUSE).await;
        }
        connection
    };
    tokio::select! {
        connection = attempt => connection,
        () = restarted.notified() => connect(address).await,
    }
}

fn frame(own: ReplicaId, messages: Vec<PeerMessage>) -> Vec<u8> {
    let body = encode(&Envelope {
        from: own,
        messages,
    });
    let mut frame = Vec::with_capacity(body.len() + 4);
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.extend_from_slice(&body);
    frame
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    set_options(&stream);
    Some(stream)
}

fn set_options(stream: &TcpStream) {
    // A connection without these works too, only slower to notice that the other end is gone.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED));
}
