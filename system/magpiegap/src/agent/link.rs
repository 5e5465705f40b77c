//! The link to the control plane: a long poll with what is known, at one coordinator after the other.
use crate::{endpoint, settings::NodeSettings};
use magpiegap_protocol::{CoordinatorAnswer, CoordinatorRequest, Feed, FeedPoll};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};
use tokio::sync::watch;

/// How long a coordinator may wait with its answer.
const WAIT_MS: u64 = 1500;
/// How much longer the agent waits for it.
const PATIENCE_MS: u64 = 400;
/// How long a coordinator that was not asked before, or has failed, has for a first answer: one that stands still is
/// not waited for.
const FIRST_ANSWER: Duration = Duration::from_millis(250);
/// Pause after a coordinator that could not serve.
const PAUSE: Duration = Duration::from_millis(30);
/// The settings file is read again at most this often.
const READ_EVERY: Duration = Duration::from_secs(1);

/// The coordinators that the links of one agent are at.
#[derive(Clone)]
pub struct Places(Arc<Mutex<Vec<Option<u32>>>>);

impl Places {
    /// Places for so many links.
    pub fn new(links: usize) -> Places {
        Places(Arc::new(Mutex::new(vec![None; links])))
    }

    /// Takes a place for a link: the first candidate from its turn on where no other link is, so that the loss of one
    /// coordinator never holds up all links.
    pub fn take(&self, link: usize, candidates: &[u32], turn: usize) -> Option<u32> {
        let mut places = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = |address: u32| {
            places.iter().enumerate().any(|(other, place)| other != link && *place == Some(address))
        };
        let first = turn.checked_rem(candidates.len())?;
        let in_turn = || candidates[first..].iter().chain(&candidates[..first]).copied();
        let chosen = in_turn().find(|address| !taken(*address)).or_else(|| in_turn().next());
        if let Some(place) = places.get_mut(link) {
            *place = chosen;
        }
        chosen
    }
}

/// The link to the control plane.
pub struct Link {
    client: reqwest::Client,
    file: PathBuf,
    read_at: Instant,
    seeds: Vec<u32>,
    port: u16,
    /// Which of the agent's links this is.
    number: usize,
    places: Places,
    /// Where to begin among the candidates, so that agents spread over the coordinators.
    turn: usize,
    /// The coordinator that has just served.
    trusted: Option<u32>,
    publish: Arc<watch::Sender<Arc<Feed>>>,
}

impl Link {
    /// A link that has not asked anyone yet.
    pub fn new(
        client: reqwest::Client,
        file: PathBuf,
        settings: &NodeSettings,
        number: usize,
        places: Places,
        publish: Arc<watch::Sender<Arc<Feed>>>,
    ) -> Link {
        Link {
            client,
            file,
            read_at: Instant::now(),
            seeds: settings.seed_addresses(),
            port: settings.request_port(),
            number,
            places,
            turn: u32::from(settings.ip) as usize + number,
            trusted: None,
            publish,
        }
    }

    /// Asks for news without end.
    pub async fn run(mut self) {
        loop {
            self.trusted = self.ask().await;
            if self.trusted.is_none() {
                self.turn = self.turn.wrapping_add(1);
                self.read_seeds();
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    fn known(&self) -> Arc<Feed> {
        self.publish.borrow().clone()
    }

    fn candidates(&self) -> Vec<u32> {
        let feed = self.known();
        let mut candidates = feed.chain.clone();
        candidates.extend(self.seeds.iter().filter(|seed| !feed.chain.contains(seed)));
        candidates
    }

    fn read_seeds(&mut self) {
        if self.read_at.elapsed() < READ_EVERY {
            return;
        }
        self.read_at = Instant::now();
        match NodeSettings::read(&self.file) {
            Ok(settings) => self.seeds = settings.seed_addresses(),
            Err(error) => log::warn!("{error}"),
        }
    }

    /// Asks one coordinator. Returns its address if it could serve.
    async fn ask(&mut self) -> Option<u32> {
        let candidates = self.candidates();
        let coordinator = self.places.take(self.number, &candidates, self.turn)?;
        let trusted = self.trusted == Some(coordinator);
        let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::from(coordinator)), self.port);
        let known = self.known();
        let wait_ms = if trusted { WAIT_MS } else { 0 };
        let poll = FeedPoll {
            revision: known.revision,
            configuration_version: known.configuration_version,
            wait_ms,
        };
        let patience = Duration::from_millis(wait_ms + PATIENCE_MS);
        let timeout = if trusted { patience } else { FIRST_ANSWER };
        let request = CoordinatorRequest::Poll(poll);
        match endpoint::call(&self.client, address, &request, timeout).await {
            Ok(CoordinatorAnswer::Feed(feed)) => self.take(*feed).then_some(coordinator),
            Ok(_) | Err(_) => None,
        }
    }

    /// Takes up a feed, unless it is older than what is known.
    fn take(&self, mut feed: Feed) -> bool {
        let known = self.known();
        if !feed.supersedes(&known) {
            return false;
        }
        if feed.configuration_version == known.configuration_version {
            feed.configuration.clone_from(&known.configuration);
        }
        if feed != *known {
            self.publish.send_replace(Arc::new(feed));
        }
        true
    }
}
