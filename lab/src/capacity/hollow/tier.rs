//! All hollow members of a tier in one thread, and the questions that the lab asks of it. Owns the thread.
use super::member::{Addresses, Hollow, Shared};
use crate::capacity::accounting::thread_processor;
use crate::capacity::error::CapacityError;
use balancer_gossip::{Member, Subject, HEADER_LEN, MAX_DATAGRAM_LEN};
use std::cell::Cell;
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::mpsc as questions;
use tokio::task::LocalSet;

/// Where a datagram's header has the deployment, as `balancer_gossip::HEADER_LEN` tells.
const DEPLOYMENT_AT: usize = 15;
/// The pause between two looks for the first datagram.
const LOOK_PAUSE: Duration = Duration::from_millis(5);
/// How often the thread looks whether something was asked or has come true.
const STEP: Duration = Duration::from_millis(10);
/// What one member accuses another of: an upstream that no list has.
const ACCUSED: Subject = Subject::Upstream(1);

/// A tier to be started.
pub struct Tier {
    /// An address for each member, the real one's too.
    pub addresses: Vec<SocketAddr>,
    /// The hollow members' places and sockets.
    pub sockets: Vec<(u16, UdpSocket)>,
    /// Tenants of the deployment.
    pub tenants: u16,
    /// Zones over which members are spread.
    pub zones: u16,
    /// What a datagram of the deployment carries.
    pub deployment: u32,
    /// The real member whose traffic is counted on its own.
    pub watched: Option<u16>,
}

/// What the tier has counted so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Snapshot {
    /// When it was taken, since the start.
    pub at: Duration,
    /// Time of the thread on a core.
    pub processor: Duration,
    /// Datagrams that hollow members sent and read, and their bytes.
    pub sent: u64,
    /// See there.
    pub sent_bytes: u64,
    /// See there.
    pub read: u64,
    /// See there.
    pub read_bytes: u64,
    /// Those that the system did not take.
    pub unsent: u64,
    /// Datagrams to and from the watched member, and their bytes.
    pub to_watched: (u64, u64),
    /// See there.
    pub from_watched: (u64, u64),
    /// How late the thread was at the most for something that was due: a member that is 200 ms late takes itself for
    /// stopped, so that what is measured on a crowded machine is partly the machine's doing.
    pub late_most: Duration,
    /// Hollow members that run.
    pub running: usize,
    /// The least and the mean of members up, as they know it.
    pub up_least: u32,
    /// See there.
    pub up_mean: f64,
    /// The mean of members in the sums of those that have sums, and how many have.
    pub summed_mean: f64,
    /// See there.
    pub with_sums: usize,
}

/// Until what the tier is asked to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Until {
    /// All know that as many are up as this.
    Up(u32),
    /// All but the accuser know of the evidence.
    Evidence,
}

enum Question {
    Snapshot(mpsc::Sender<Snapshot>),
    Stop(usize),
    Accuse(usize, bool),
    Await(Until, Instant, mpsc::Sender<Option<Duration>>),
}

/// A tier that runs.
pub struct Running {
    ask: Option<questions::UnboundedSender<Question>>,
    thread: Option<JoinHandle<()>>,
}

impl Tier {
    /// Starts the thread.
    ///
    /// # Errors
    /// When the operating system refuses a socket or a runtime.
    pub fn start(self) -> Result<Running, CapacityError> {
        let (ask, questions) = questions::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (tell, began) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                // Whoever started it may have given up.
                match self.members() {
                    Ok(members) => {
                        let _ = tell.send(Ok(()));
                        answer(&members, questions).await;
                    }
                    Err(error) => _ = tell.send(Err(error)),
                }
            });
        });
        began.recv().map_err(|_| CapacityError::TierEnded)??;
        Ok(Running {
            ask: Some(ask),
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
        for (place, socket) in self.sockets {
            socket.set_nonblocking(true)?;
            let socket = tokio::net::UdpSocket::from_std(socket)?;
            let member = Hollow::new(place, socket, addresses.clone(), shared)?;
            tokio::task::spawn_local(member.clone().run());
            members.push(member);
        }
        Ok(members)
    }
}

/// Answers until nobody asks any more.
async fn answer(members: &[Rc<Hollow>], mut questions: questions::UnboundedReceiver<Question>) {
    let start = Instant::now();
    let late = Rc::new(Cell::new(Duration::ZERO));
    tokio::task::spawn_local(watch_lateness(late.clone()));
    while let Some(question) = questions.recv().await {
        match question {
            Question::Snapshot(tell) => {
                let _ = tell.send(Snapshot {
                    late_most: late.get(),
                    ..snapshot(members, start)
                });
            }
            Question::Stop(member) => members[member].stopped.set(true),
            Question::Accuse(member, accuses) => {
                members[member].accuses.set(accuses.then_some(ACCUSED));
            }
            Question::Await(until, end, tell) => {
                let _ = tell.send(waited(members, until, end).await);
            }
        }
    }
}

/// Keeps the most by which a short pause was too long.
async fn watch_lateness(late: Rc<Cell<Duration>>) {
    loop {
        let due = Instant::now() + STEP;
        tokio::time::sleep(STEP).await;
        late.set(late.get().max(due.elapsed()));
    }
}

/// How long it took until it was true of all that run, or none when it was not by then.
async fn waited(members: &[Rc<Hollow>], until: Until, end: Instant) -> Option<Duration> {
    let start = Instant::now();
    let holds = |member: &Rc<Hollow>| match until {
        Until::Up(count) => member.counted.get().up == count,
        Until::Evidence => member.accuses.get().is_some() || member.counted.get().evidence,
    };
    while Instant::now() < end {
        if members
            .iter()
            .filter(|member| !member.stopped.get())
            .all(holds)
        {
            return Some(start.elapsed());
        }
        tokio::time::sleep(STEP).await;
    }
    None
}

fn snapshot(members: &[Rc<Hollow>], start: Instant) -> Snapshot {
    let mut all = Snapshot {
        at: start.elapsed(),
        up_least: u32::MAX,
        ..Snapshot::default()
    };
    all.processor = thread_processor().unwrap_or_default();
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
        all.up_least = all.up_least.min(counted.up);
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
    /// What was counted so far.
    ///
    /// # Errors
    /// When its thread has ended.
    pub fn snapshot(&self) -> Result<Snapshot, CapacityError> {
        let (tell, reply) = mpsc::channel();
        self.ask(Question::Snapshot(tell))?;
        reply.recv().map_err(|_| CapacityError::TierEnded)
    }

    /// Waits until every hollow member knows as many up as this; the time it took, or none if it takes too long.
    ///
    /// # Errors
    /// When its thread has ended.
    pub fn until_up(&self, count: u32, most: Duration) -> Result<Option<Duration>, CapacityError> {
        self.until(Until::Up(count), most)
    }

    /// One member, by its position among the hollow ones, ends without a word.
    ///
    /// # Errors
    /// When its thread has ended.
    pub fn stop(&self, member: usize) -> Result<(), CapacityError> {
        self.ask(Question::Stop(member))
    }

    /// One member has evidence against an upstream; the time until all know of it, or none if it takes too long.
    ///
    /// # Errors
    /// When its thread has ended.
    pub fn until_evidence(
        &self,
        accuser: usize,
        most: Duration,
    ) -> Result<Option<Duration>, CapacityError> {
        self.ask(Question::Accuse(accuser, true))?;
        let took = self.until(Until::Evidence, most);
        self.ask(Question::Accuse(accuser, false))?;
        took
    }

    fn until(&self, until: Until, most: Duration) -> Result<Option<Duration>, CapacityError> {
        let (tell, reply) = mpsc::channel();
        self.ask(Question::Await(until, Instant::now() + most, tell))?;
        reply.recv().map_err(|_| CapacityError::TierEnded)
    }

    fn ask(&self, question: Question) -> Result<(), CapacityError> {
        self.ask
            .as_ref()
            .ok_or(CapacityError::TierEnded)?
            .send(question)
            .map_err(|_| CapacityError::TierEnded)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.ask = None;
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has said so.
            let _ = thread.join();
        }
    }
}

/// Waits for the first datagram at any of the sockets and reads the deployment from its header.
///
/// # Errors
/// When none comes in time.
pub fn learn_deployment(
    sockets: &[(u16, UdpSocket)],
    most: Duration,
) -> Result<u32, CapacityError> {
    let end = Instant::now() + most;
    let mut bytes = [0; MAX_DATAGRAM_LEN];
    for (_, socket) in sockets {
        socket.set_nonblocking(true)?;
    }
    while Instant::now() < end {
        for (_, socket) in sockets {
            match socket.recv_from(&mut bytes) {
                Ok((length, _)) if length > HEADER_LEN => {
                    let at = &bytes[DEPLOYMENT_AT..];
                    return Ok(u32::from_be_bytes([at[0], at[1], at[2], at[3]]));
                }
                _ => {}
            }
        }
        std::thread::sleep(LOOK_PAUSE);
    }
    Err(CapacityError::NoDatagram)
}
