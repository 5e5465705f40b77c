//! Connections between coordinators, carrying length-prefixed frames of messages. Each direction has one connection for
//! entries and snapshots and a second one for urgent messages, which must not be queued behind large transfers.
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

/// Maximum length of a frame, in bytes.
const MAX_FRAME_BYTES: u32 = 64 << 20;
/// Target size of a frame: no messages are added beyond it, so that one frame can be written quickly.
const TARGET_FRAME_BYTES: usize = 1 << 20;
/// Read buffer size per connection; most frames fit into it.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Maximum number of messages queued per connection. Further messages are dropped; the receiver requests missing ones again.
const MAX_QUEUED_MESSAGES: usize = 4000;
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A connection is closed when no byte of a frame could be written for this long.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2000);
/// TCP user timeout: a connection is closed when sent data stays unacknowledged for this long (RFC 5482).
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Delay after a failed connection attempt or a failed accept.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// One connection to another coordinator.
struct PeerConnection {
    messages: Sender<PeerMessage>,
    /// Notifies the writer that the peer process has restarted.
    restarted: Arc<Notify>,
}

impl PeerConnection {
    /// Starts the writer task, which connects when the first message is queued.
    fn start(own: ReplicaId, address: SocketAddr) -> PeerConnection {
        let (messages, inbox) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let restarted = Arc::new(Notify::new());
        tokio::spawn(write_frames(own, address, inbox, restarted.clone()));
        PeerConnection {
            messages,
            restarted,
        }
    }
}

/// The pair of connections to one other coordinator.
struct PeerLink {
    urgent: PeerConnection,
    data: PeerConnection,
    /// The replica, including its incarnation, from which the last message was received.
    last_contact: Option<ReplicaId>,
}

/// The connections to the other coordinators.
pub(super) struct Peers {
    own: ReplicaId,
    port: u16,
    links: HashMap<u32, PeerLink>,
}

impl Peers {
    /// Creates the set of connections; each peer is connected when the first message is sent to it.
    pub(super) fn new(own: ReplicaId, port: u16) -> Peers {
        Peers {
            own,
            port,
            links: HashMap::new(),
        }
    }

    /// Queues a message to the coordinator at an address. Delivery is not guaranteed.
    pub(super) fn send(&mut self, to: u32, message: PeerMessage) {
        let link = self.link(to);
        let connection = if message.is_urgent() {
            &link.urgent
        } else {
            &link.data
        };
        let _ = connection.messages.try_send(message);
    }

    /// Records contact with a coordinator. If its process has restarted, connections to the old process are replaced.
    pub(super) fn handle_contact(&mut self, from: ReplicaId) {
        let link = self.link(from.member.address);
        if link.last_contact.replace(from) != Some(from) {
            link.urgent.restarted.notify_one();
            link.data.restarted.notify_one();
        }
    }

    fn link(&mut self, address: u32) -> &mut PeerLink {
        let (own, port) = (self.own, self.port);
        self.links.entry(address).or_insert_with(|| {
            let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::from(address)), port);
            PeerLink {
                urgent: PeerConnection::start(own, address),
                data: PeerConnection::start(own, address),
                last_contact: None,
            }
        })
    }
}

/// Starts accepting connections of other coordinators.
///
/// # Errors
/// When the port can't be bound.
pub(super) async fn listen(
    ip: Ipv4Addr,
    port: u16,
    events: UnboundedSender<Event>,
) -> io::Result<()> {
    let listener = TcpListener::bind(SocketAddr::new(IpAddr::V4(ip), port)).await?;
    tokio::spawn(accept(listener, port, events));
    Ok(())
}

async fn accept(listener: TcpListener, port: u16, events: UnboundedSender<Event>) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let events = events.clone();
                tokio::spawn(async move {
                    read_frames(stream, &events).await;
                    report_if_refused(address.ip(), port, &events).await;
                });
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Called after a connection has ended: reports the peer if it refuses a new connection, which shows that its process has
/// ended.
async fn report_if_refused(ip: IpAddr, port: u16, events: &UnboundedSender<Event>) {
    let IpAddr::V4(address) = ip else { return };
    let attempt = timeout(
        CONNECT_TIMEOUT,
        TcpStream::connect(SocketAddr::new(ip, port)),
    )
    .await;
    if matches!(&attempt, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused) {
        let _ = events.send(Event::ConnectionRefused(u32::from(address)));
    }
}

/// Reads frames until the connection ends or a frame is invalid.
async fn read_frames(stream: TcpStream, events: &UnboundedSender<Event>) {
    set_options(&stream);
    let mut stream = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
    while let Some(envelope) = read_frame(&mut stream).await {
        let event = Event::PeerMessages {
            from: envelope.from,
            messages: envelope.messages,
        };
        if events.send(event).is_err() {
            return;
        }
    }
}

/// Reads one frame; `None` if the connection has ended or the frame is invalid.
async fn read_frame(stream: &mut BufReader<TcpStream>) -> Option<Envelope> {
    let length = stream.read_u32().await.ok()?;
    if length > MAX_FRAME_BYTES {
        log::warn!("frame of peer exceeds maximum length={length} max={MAX_FRAME_BYTES}");
        return None;
    }
    let mut frame = Vec::new();
    let mut body = stream.take(u64::from(length));
    let read = body.read_to_end(&mut frame).await.ok()?;
    if read != length as usize {
        return None;
    }
    decode::<Envelope>(&frame)
        .inspect_err(|error| log::warn!("cannot decode frame of peer error={error}"))
        .ok()
}

/// Writes queued messages. The connection is replaced whenever it breaks or the peer process restarts.
async fn write_frames(
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
        let messages = fill_frame(first, &mut inbox);
        if connection.is_none() {
            connection = connect_or_delay(address, &restarted).await;
        }
        let Some(stream) = connection.as_mut() else {
            continue;
        };
        let frame = encode_frame(own, messages);
        if write_while_progressing(stream, &frame).await.is_err() {
            connection = None;
        }
    }
}

/// Collects the messages of a frame: `first` and queued ones, until [`TARGET_FRAME_BYTES`] is reached.
fn fill_frame(first: PeerMessage, inbox: &mut mpsc::Receiver<PeerMessage>) -> Vec<PeerMessage> {
    let mut bytes = first.estimated_bytes();
    let mut messages = vec![first];
    while bytes < TARGET_FRAME_BYTES {
        let Ok(message) = inbox.try_recv() else { break };
        bytes += message.estimated_bytes();
        messages.push(message);
    }
    messages
}

/// Writes a frame. There is no total timeout, because a large frame may take long over a slow link.
///
/// # Errors
/// When the connection breaks, or no byte could be written for [`WRITE_TIMEOUT`].
async fn write_while_progressing(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    let mut unwritten = frame;
    while !unwritten.is_empty() {
        let written = timeout(WRITE_TIMEOUT, stream.write(unwritten))
            .await
            .map_err(|_| io::ErrorKind::TimedOut)??;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        unwritten = &unwritten[written..];
    }
    Ok(())
}

/// Connects, or returns `None` after a delay. If the peer restarts meanwhile, a second attempt is made immediately.
async fn connect_or_delay(address: SocketAddr, restarted: &Notify) -> Option<TcpStream> {
    let attempt = async {
        let connection = connect(address).await;
        if connection.is_none() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        connection
    };
    tokio::select! {
        connection = attempt => connection,
        () = restarted.notified() => connect(address).await,
    }
}

fn encode_frame(own: ReplicaId, messages: Vec<PeerMessage>) -> Vec<u8> {
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
    // Errors are ignored: the connection works without these options, with higher latency and slower failure detection.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
}
