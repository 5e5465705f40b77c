//! The tier's other copies: the thin end, on a socket and a clock, of the protocol in `balancer-gossip`. Datagrams and
//! time go in, datagrams and words come out; nothing is decided here. Owns the protocol's state.
mod addresses;
mod end;
mod start;
mod words;

pub(crate) use addresses::{Addresses, Unread};
pub use words::word;

use crate::driver::Handle;
use crate::figures;
use crate::held::Held;
use crate::options::{self, Options};
use balancer_gossip::{Millis, Peers};
use balancer_settings::Deployment;
use end::End;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// How often the decisions hear what the tier knows, and how often the tier is told what they observe.
const WORD_EVERY: Millis = 100.0;
const OBSERVE_EVERY: Millis = 200.0;
/// Datagrams taken at a time, and the pause before more of them are: a flood leaves time for requests.
const TAKEN_MOST: usize = 32;
const PAUSE: Duration = Duration::from_millis(1);

/// What this copy is in its tier.
pub(crate) struct Parts<'a> {
    /// The settings.
    pub deployment: &'a Deployment,
    /// What the configuration says of peers.
    pub addresses: &'a Unread,
    /// The operator's options.
    pub options: &'a options::Peers,
    /// A number that grows with each start of this copy.
    pub incarnation: u64,
    /// Feeds random choices.
    pub seed: u64,
}

/// Where the copies of the tier hear each other, or why they may not or cannot.
pub(crate) fn addresses(d: &Deployment, said: &Unread) -> Result<Addresses, String> {
    if !d.peers {
        return Err("settings.permissions.peers: datagrams are not allowed".into());
    }
    said.read(d.policy.balancers)
}

/// This copy's part in its tier.
#[derive(Clone)]
pub(crate) struct Tier(Rc<Shared>);

struct Shared {
    start: Instant,
    end: End,
    peers: RefCell<Peers>,
}

impl Tier {
    /// Opens the socket; [`Tier::run`] must run for anything to come of it.
    pub(crate) fn start(parts: Parts<'_>) -> Result<Tier, String> {
        let Parts {
            deployment,
            incarnation,
            seed,
            options,
            ..
        } = parts;
        let addresses = addresses(deployment, parts.addresses)?;
        let listen = addresses.listen;
        let (start, now) = (Instant::now(), 0.0);
        let config = start::config(deployment, incarnation, seed, options.version_most);
        let (candidates, reads) = (config.candidates, config.supported_versions);
        let peers = Peers::new(config, now).map_err(|e| e.to_string())?;
        let end = End::bind(addresses).map_err(|e| format!("peer_listen: {listen}: {e}"))?;
        let address = end
            .address()
            .map_err(|e| format!("peer_listen: {listen}: {e}"))?;
        tracing::info!(
            target: "peers", event = "peers_on", address = %address, copies = candidates, least = reads.min,
            most = reads.max, "peers: one of {candidates}, listening on {address}, reading versions {} to {}",
            reads.min, reads.max
        );
        Ok(Tier(Rc::new(Shared {
            start,
            end,
            peers: RefCell::new(peers),
        })))
    }

    /// Speaks with the others for ever: tells the driver what the tier knows, and the tier what it observes.
    pub(crate) async fn run(self, driver: Handle, held: Held, options: watch::Receiver<Options>) {
        let Shared { end, peers, .. } = &*self.0;
        let (mut word_at, mut observe_at) = (WORD_EVERY, 0.0);
        loop {
            let more = end.take(
                TAKEN_MOST,
                || self.now(),
                |at, from, bytes| peers.borrow_mut().handle_datagram(at, from, bytes),
            );
            let now = self.now();
            if now >= observe_at {
                observe_at = now + OBSERVE_EVERY;
                let own = words::own(driver.observed(), &held.counts());
                peers.borrow_mut().handle_observation(now, own);
            }
            if peers.borrow().next_timeout().is_some_and(|at| at <= now) {
                peers.borrow_mut().on_timeout(now);
            }
            self.send_and_tell();
            if now >= word_at {
                word_at = now + WORD_EVERY;
                let word = peers.borrow_mut().tier_state(now);
                driver.tier(words::word(word, &options.borrow().peers));
            }
            let due = peers
                .borrow()
                .next_timeout()
                .unwrap_or(f64::INFINITY)
                .min(word_at)
                .min(observe_at);
            let wake = self.0.start + Duration::from_secs_f64(due.max(0.0) / 1000.0);
            // However often something is due, requests come in between.
            let wake = wake.max(Instant::now() + PAUSE);
            tokio::select! {
                () = end.readable(), if !more => {}
                () = sleep_until(wake), if !more => {}
                () = tokio::time::sleep(PAUSE), if more => {}
            }
        }
    }

    /// Tells the others that this copy ends.
    pub(crate) fn leave(&self) {
        self.0.peers.borrow_mut().leave(self.now());
        self.send_and_tell();
    }

    /// What is known and was counted.
    pub(crate) fn figures(&self) -> figures::Peers {
        let mut peers = self.0.peers.borrow_mut();
        let word = peers.tier_state(self.now());
        words::figures(&word, peers.counts(), self.0.end.dropped())
    }

    fn send_and_tell(&self) {
        let mut peers = self.0.peers.borrow_mut();
        while let Some(datagram) = peers.poll_transmit() {
            self.0.end.send(&datagram);
        }
        while let Some(told) = peers.poll_notification() {
            tracing::info!(target: "peers", event = "peers_told", "peers: {}", told.0);
        }
    }

    fn now(&self) -> Millis {
        self.0.start.elapsed().as_secs_f64() * 1000.0
    }
}
