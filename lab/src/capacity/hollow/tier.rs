//! Runs all hollow members of a tier in one thread and serves requests from the lab. Owns the thread.
use super::member::{Addresses, Hollow, Shared};
use crate::capacity::accounting::thread_cpu_time;
use crate::capacity::error::CapacityError;
use balancer_gossip::{Member, Subject, HEADER_LEN, MAX_DATAGRAM_LEN};
use std::cell::Cell;
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::mpsc as tokio_mpsc;
use tokio::task::LocalSet;

/// Offset of the deployment in a datagram header; see `balancer_gossip::HEADER_LEN`.
const DEPLOYMENT_OFFSET: usize = 15;
/// Interval between checks for the first datagram.
const RECEIVE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which the thread checks conditions and its own lateness.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The subject of reported evidence: an upstream that is in no list.
const EVIDENCE_SUBJECT: Subject = Subject::Upstream(1);

/// Configuration of a tier.
pub struct Tier {
    /// Addresses of all members, including the real one.
    pub addresses: Vec<SocketAddr>,
    /// Index and socket of each hollow member.
    pub sockets: Vec<(u16, UdpSocket)>,
    /// Number of tenants in the deployment.
    pub tenants: u16,
    /// Number of zones over which members are distributed.
    pub zones: u16,
    /// Deployment identifier in datagrams.
    pub deployment: u32,
    /// The member whose traffic is counted separately.
    pub watched: Option<u16>,
}

/// Counters of a tier.
#[derive(Clone, Copy, Debug, Default)]
pub struct Snapshot {
    /// Time since the start of the tier.
    pub at: Duration,
    /// CPU time of the thread.
    pub processor: Duration,
    /// Datagrams sent by hollow members.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams received by hollow members.
    pub read: u64,
    /// Bytes of the datagrams received.
    pub read_bytes: u64,
    /// Datagrams that could not be sent.
    pub unsent: u64,
    /// Number and bytes of datagrams sent to the watched member.
    pub to_watched: (u64, u64),
    /// Number and bytes of datagrams received from the watched member.
    pub from_watched: (u64, u64),
    /// Maximum lateness of a timer in the thread. A member that is 200 ms late assumes that it was suspended, so on an
    /// overloaded machine the measurement is distorted.
    pub max_lateness: Duration,
    /// Number of running hollow members.
    pub running: usize,
    /// Minimum number of members that a running member knows to be up.
    pub min_up: u32,
    /// Mean number of members that running members know to be up.
    pub up_mean: f64,
    /// Mean number of members included in the load sums, over the members that have sums.
    pub summed_mean: f64,
    /// Number of members that have load sums.
    pub with_sums: usize,
}

/// A condition that the tier waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    /// All running members know this number of members to be up.
    Up(u32),
    /// All members except its reporter know the evidence.
    Evidence,
}

enum Request {
    Snapshot(mpsc::Sender<Snapshot>),
    Stop(usize),
    SetEvidence(usize, bool),
    WaitFor(Condition, Instant, mpsc::Sender<Option<Duration>>),
}

/// A running tier.
pub struct Running {
    requests: Option<tokio_mpsc::UnboundedSender<Request>>,
    thread: Option<JoinHandle<()>>,
}

impl Tier {
    /// Starts the thread of the tier.
    ///
    /// # Errors
    /// Returns an error if the sockets, the runtime or a member cannot be created.
    pub fn start(self) -> Result<Running, CapacityError> {
        let (sender, receiver) = tokio_mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (started_tx, started_rx) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                // The receiver may have been dropped; the result is then not needed.
                match self.members() {
                    Ok(members) => {
                        let _ = started_tx.send(Ok(()));
                        serve(&members, receiver).await;
                    }
                    Err(error) => _ = started_tx.send(Err(error)),
                }
            });
        });
        started_rx.recv().map_err(|_| CapacityError::TierEnded)??;
        Ok(Running {
            requests: Some(sender),
            thread: Some(thread),
        })
    }

    fn members(self) -> Result<Vec<Rc<Hollow>>, CapacityError> {
        let shared = Shared {
            tenants: self.tenants,
            zones: self.zones,
            deployment: self.deployment,
            watched: self.watched.map(Member),
        };
        let from: HashMap<_, _> = (0..)
            .map(Member)
            .zip(&self.addresses)
            .map(|(m, at)| (*at, m))
            .collect();
        let addresses = Rc::new(Addresses {
            to: self.addresses,
            from,
        });
        let mut members = Vec::new();
        for (index, socket) in self.sockets {
            socket.set_nonblocking(true)?;
            let socket = tokio::net::UdpSocket::from_std(socket)?;
            let member = Hollow::new(index, socket, addresses.clone(), shared)?;
            tokio::task::spawn_local(member.clone().run());
            members.push(member);
        }
        Ok(members)
    }
}

/// Serves requests until all senders are dropped.
async fn serve(members: &[Rc<Hollow>], mut requests: tokio_mpsc::UnboundedReceiver<Request>) {
    let start = Instant::now();
    let late = Rc::new(Cell::new(Duration::ZERO));
    tokio::task::spawn_local(watch_lateness(late.clone()));
    while let Some(request) = requests.recv().await {
        match request {
            Request::Snapshot(reply_tx) => {
                let _ = reply_tx.send(Snapshot {
                    max_lateness: late.get(),
                    ..snapshot(members, start)
                });
            }
            Request::Stop(member) => members[member].stopped.set(true),
            Request::SetEvidence(member, is_reported) => {
                members[member]
                    .evidence_against
                    .set(is_reported.then_some(EVIDENCE_SUBJECT));
            }
            Request::WaitFor(condition, end, reply_tx) => {
                let _ = reply_tx.send(wait_for(members, condition, end).await);
            }
        }
    }
}

/// Records the maximum lateness of a periodic timer.
async fn watch_lateness(late: Rc<Cell<Duration>>) {
    loop {
        let due = Instant::now() + POLL_INTERVAL;
        tokio::time::sleep(POLL_INTERVAL).await;
        late.set(late.get().max(due.elapsed()));
    }
}

/// Waits until a condition holds for all running members. Returns the time it took, or none on timeout.
async fn wait_for(members: &[Rc<Hollow>], condition: Condition, end: Instant) -> Option<Duration> {
    let start = Instant::now();
    let holds = |member: &Rc<Hollow>| match condition {
        Condition::Up(count) => member.counted.get().up == count,
        Condition::Evidence => {
            member.evidence_against.get().is_some() || member.counted.get().evidence
        }
    };
    while Instant::now() < end {
        if members
            .iter()
            .filter(|member| !member.stopped.get())
            .all(holds)
        {
            return Some(start.elapsed());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    None
}

fn snapshot(members: &[Rc<Hollow>], start: Instant) -> Snapshot {
    let mut all = Snapshot {
        at: start.elapsed(),
        min_up: u32::MAX,
        ..Snapshot::default()
    };
    all.processor = thread_cpu_time().unwrap_or_default();
    let (mut up, mut summed) = (0.0, 0.0);
    for member in members {
        let counted = member.counted.get();
        all.sent += counted.sent.count;
        all.sent_bytes += counted.sent.bytes;
        all.read += counted.read.count;
        all.read_bytes += counted.read.bytes;
        all.unsent += counted.unsent;
        all.to_watched.0 += counted.to_watched.count;
        all.to_watched.1 += counted.to_watched.bytes;
        all.from_watched.0 += counted.from_watched.count;
        all.from_watched.1 += counted.from_watched.bytes;
        if member.stopped.get() {
            continue;
        }
        all.running += 1;
        all.min_up = all.min_up.min(counted.up);
        up += f64::from(counted.up);
        if let Some(heard) = counted.summed {
            all.with_sums += 1;
            summed += f64::from(heard);
        }
    }
    all.up_mean = up / all.running.max(1) as f64;
    all.summed_mean = summed / all.with_sums.max(1) as f64;
    all
}

impl Running {
    /// Returns the counters of the tier so far.
    ///
    /// # Errors
    /// Returns an error if the thread of the tier has ended.
    pub fn snapshot(&self) -> Result<Snapshot, CapacityError> {
        let (reply_tx, reply_rx) = mpsc::channel();
        self.send(Request::Snapshot(reply_tx))?;
        reply_rx.recv().map_err(|_| CapacityError::TierEnded)
    }

    /// Waits until every running hollow member knows this number of members to be up. Returns the time it took, or none
    /// on timeout.
    ///
    /// # Errors
    /// Returns an error if the thread of the tier has ended.
    pub fn wait_until_up(
        &self,
        count: u32,
        timeout: Duration,
    ) -> Result<Option<Duration>, CapacityError> {
        self.wait_for(Condition::Up(count), timeout)
    }

    /// Stops a hollow member, by its position among the hollow ones, without notice to its peers.
    ///
    /// # Errors
    /// Returns an error if the thread of the tier has ended.
    pub fn stop(&self, member: usize) -> Result<(), CapacityError> {
        self.send(Request::Stop(member))
    }

    /// Lets a member report evidence against an upstream. Returns the time until all members know it, or none on
    /// timeout.
    ///
    /// # Errors
    /// Returns an error if the thread of the tier has ended.
    pub fn wait_for_evidence(
        &self,
        reporter: usize,
        timeout: Duration,
    ) -> Result<Option<Duration>, CapacityError> {
        self.send(Request::SetEvidence(reporter, true))?;
        let took = self.wait_for(Condition::Evidence, timeout);
        self.send(Request::SetEvidence(reporter, false))?;
        took
    }

    fn wait_for(
        &self,
        condition: Condition,
        timeout: Duration,
    ) -> Result<Option<Duration>, CapacityError> {
        let (reply_tx, reply_rx) = mpsc::channel();
        self.send(Request::WaitFor(
            condition,
            Instant::now() + timeout,
            reply_tx,
        ))?;
        reply_rx.recv().map_err(|_| CapacityError::TierEnded)
    }

    fn send(&self, request: Request) -> Result<(), CapacityError> {
        self.requests
            .as_ref()
            .ok_or(CapacityError::TierEnded)?
            .send(request)
            .map_err(|_| CapacityError::TierEnded)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.requests = None;
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been printed.
            let _ = thread.join();
        }
    }
}

/// Waits for the first datagram on any of the sockets and reads the deployment from its header.
///
/// # Errors
/// Returns an error if no datagram arrives in time.
pub fn learn_deployment(
    sockets: &[(u16, UdpSocket)],
    timeout: Duration,
) -> Result<u32, CapacityError> {
    let end = Instant::now() + timeout;
    let mut bytes = [0; MAX_DATAGRAM_LEN];
    for (_, socket) in sockets {
        socket.set_nonblocking(true)?;
    }
    while Instant::now() < end {
        for (_, socket) in sockets {
            match socket.recv_from(&mut bytes) {
                Ok((length, _)) if length > HEADER_LEN => {
                    let at = &bytes[DEPLOYMENT_OFFSET..];
                    return Ok(u32::from_be_bytes([at[0], at[1], at[2], at[3]]));
                }
                _ => {}
            }
        }
        std::thread::sleep(RECEIVE_POLL_INTERVAL);
    }
    Err(CapacityError::NoDatagram)
}
