//! Connections between coordinators, with framed messages: in each direction one for entries and snapshots, and one for
//! urgent messages, which must not wait behind them.
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
/// A frame of about this many bytes takes no more messages, so that it can be written in time.
const TARGET_FRAME_BYTES: usize = 1 << 20;
/// Bytes read from a connection at once: most frames are complete then.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Maximum number of messages queued for one connection; more are dropped, and requested again by those that miss them.
const MAX_QUEUED_MESSAGES: usize = 4000;
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A connection on which a peer has taken no byte of a frame for this long is closed.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2000);
/// A connection on which data is not acknowledged for this long breaks (RFC 5482).
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Delay after a connection attempt that failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// One connection to another coordinator.
struct PeerConnection {
    messages: Sender<PeerMessage>,
    /// Wakes the writer when the process at the other end is a new one.
    restarted: Arc<Notify>,
}

impl PeerConnection {
    /// A connection that is made once there is something to write.
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

/// The connections to one other coordinator.
struct PeerLink {
    urgent: PeerConnection,
    data: PeerConnection,
    /// The incarnation of the process that was last heard there.
    last_contact: Option<ReplicaId>,
}

/// The connections to the other coordinators.
pub(super) struct Peers {
    own: ReplicaId,
    port: u16,
    links: HashMap<u32, PeerLink>,
}

impl Peers {
    /// The connections of this replica; each is made once there is something to send.
    pub(super) fn new(own: ReplicaId, port: u16) -> Peers {
        Peers {
            own,
            port,
            links: HashMap::new(),
        }
    }

    /// Sends a message to the coordinator at an address; it may be lost.
    pub(super) fn send(&mut self, to: u32, message: PeerMessage) {
        let link = self.link(to);
        let connection = if message.is_urgent() {
            &link.urgent
        } else {
            &link.data
        };
        let _ = connection.messages.try_send(message);
    }

    /// Handles that a coordinator was heard: if its process is a new one, the connections to the old one are replaced.
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

/// Listens for other coordinators.
///
/// # Errors
/// When the port can't be listened on.
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

/// Reports a peer whose connection has ended if it refuses another one: its process has ended then.
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

/// Reads frames until the connection ends or brings something else.
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

/// Reads one frame. `None`: the connection has ended, or brings no frame.
async fn read_frame(stream: &mut BufReader<TcpStream>) -> Option<Envelope> {
    let length = stream.read_u32().await.ok()?;
    if length > MAX_FRAME_BYTES {
        log::warn!("frame of a peer is too long length={length} max={MAX_FRAME_BYTES}");
        return None;
    }
    let mut frame = Vec::new();
    let mut body = stream.take(u64::from(length));
    let read = body.read_to_end(&mut frame).await.ok()?;
    if read != length as usize {
        return None;
    }
    decode::<Envelope>(&frame)
        .inspect_err(|error| log::warn!("cannot decode frame of a peer error={error}"))
        .ok()
}

/// Writes queued messages, on a connection that is replaced whenever it breaks or the process at the other end is a new
/// one.
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

/// Adds queued messages to the first one of a frame, up to about [`TARGET_FRAME_BYTES`].
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

/// Writes a frame as long as the other end takes bytes of it: a large one may take any time.
///
/// # Errors
/// When the connection breaks, or no byte was taken for [`WRITE_TIMEOUT`].
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

/// Connects, or returns `None` after a delay. A process that starts meanwhile is tried at once.
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
    // A connection without these works too, only slower to notice that the other end is gone.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
}
