//! Discovery as one balancer sees it: an agent on its own machine that lists upstreams for it, late or badly.
use crate::draw::Plan;
use crate::experiment::Millis;
use crate::net::{lock, Link, LinkedStream, Manner, Port};
use crate::world::World;
use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

/// The longest wait of a watch.
const WAIT_MOST: u64 = 60_000;
/// An address that was left closes its connections after this.
const LEFT_CLOSES: Duration = Duration::from_millis(1500);

/// The entry of an upstream in discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Takes work.
    Active,
    /// Finishes what it has.
    Leaving,
    /// Gone.
    Left,
}

/// What discovery knows of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Which one.
    pub upstream: usize,
    /// Its id; a replacement has a new one.
    pub id: String,
    /// Its state.
    pub state: State,
    /// How often it had started, and when it last did, in the run's time; 1 and none: long ago.
    pub start: (usize, Option<Millis>),
}

/// How an agent behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    /// As it should.
    Sound,
    /// Says nothing.
    Silent,
    /// Answers with what is no list.
    Garbled,
    /// Answers with the list as it was at the start, under its version of then.
    Stale,
}

/// A line of the list, in discovery's form.
#[derive(Serialize)]
struct Line {
    id: String,
    addr: String,
    zone: String,
    kind: String,
    cell: u16,
    state: State,
    weight: f64,
    started_ms: f64,
}

#[derive(Serialize)]
struct Listing {
    version: u64,
    full: bool,
    servers: Vec<Line>,
}

struct List {
    version: u64,
    /// By id, with the version that last changed it.
    entries: BTreeMap<String, (Entry, u64)>,
    /// The last change applied for each id: one that was in transit for longer is old.
    applied: BTreeMap<String, u64>,
}

/// One balancer's agent.
pub struct Agent {
    balancer: usize,
    list: Mutex<List>,
    changed: watch::Sender<u64>,
    mood: watch::Sender<Mood>,
    moves: watch::Sender<u16>,
    /// The link between it and its balancer.
    pub link: Arc<Link>,
}

impl Agent {
    /// Knows all upstreams of its balancer's tier as active, long since.
    pub fn new(balancer: usize, plan: &Plan) -> Agent {
        let tier = plan.balancers[balancer].tier;
        let own = plan
            .upstreams
            .iter()
            .enumerate()
            .filter(|(_, u)| u.tier == tier);
        let entry = |(i, u): (usize, &crate::draw::Upstream)| {
            let entry = Entry {
                upstream: i,
                id: u.name.clone(),
                state: State::Active,
                start: (1, None),
            };
            (u.name.clone(), (entry, 1))
        };

        Agent {
            balancer,
            list: Mutex::new(List {
                version: 1,
                entries: own.map(entry).collect(),
                applied: BTreeMap::new(),
            }),
            changed: watch::channel(1).0,
            mood: watch::channel(Mood::Sound).0,
            moves: watch::channel(0).0,
            link: Link::open(),
        }
    }

    /// Takes a change, the `number`-th of its upstream.
    pub fn apply(&self, entry: Entry, number: u64) {
        let mut list = lock(&self.list);
        let last = list.applied.entry(entry.id.clone()).or_default();
        if *last >= number {
            return;
        }
        *last = number;
        list.version += 1;
        let version = list.version;
        list.entries.insert(entry.id.clone(), (entry, version));
        drop(list);
        self.changed.send_replace(version);
    }

    /// Changes how it behaves.
    pub fn behave(&self, mood: Mood) {
        self.mood.send_replace(mood);
    }

    /// Moves to its next address, and returns how often it has moved.
    pub fn move_on(&self) -> u16 {
        self.moves.send_modify(|n| *n += 1);
        *self.moves.borrow()
    }

    /// How often it has moved.
    pub fn moves(&self) -> u16 {
        *self.moves.borrow()
    }

    /// The whole list as text, in discovery's form.
    pub fn whole(&self, world: &World) -> String {
        self.listing(world, None, false).1
    }

    /// What changed since a version, or all. The balancer counts as notified of the states in it once it is written.
    fn listing(&self, world: &World, since: Option<u64>, stale: bool) -> (Vec<Entry>, String) {
        let list = lock(&self.list);
        // A version from the future is another discovery's: only the whole list helps then.
        let since = since.filter(|&v| v <= list.version);
        let fits = |(entry, version): &&(Entry, u64)| match since {
            Some(since) => *version > since,
            None => entry.state != State::Left,
        };
        let notified: Vec<Entry> = list
            .entries
            .values()
            .filter(fits)
            .map(|(e, _)| e.clone())
            .collect();
        let line = |e: &Entry| {
            let u = &world.plan.upstreams[e.upstream];
            let state = if stale { State::Active } else { e.state };
            Line {
                id: e.id.clone(),
                addr: world.block.upstream(e.upstream, self.balancer).to_string(),
                zone: world.experiment.fleet.zones[u.zone].clone(),
                kind: world.experiment.tiers[u.tier].kinds[u.kind].name.clone(),
                cell: u.cell,
                state,
                weight: 1.0,
                started_ms: e.start.1.map_or(0.0, |at| world.clock.unix(at).floor()),
            }
        };
        let version = if stale { 1 } else { list.version };
        let listing = Listing {
            version,
            full: since.is_none(),
            servers: notified.iter().map(line).collect(),
        };
        // Strings and numbers only: there is nothing in it that JSON can't hold.
        (
            notified,
            serde_json::to_string(&listing).unwrap_or_default(),
        )
    }

    fn note_notified(&self, world: &World, notified: &[Entry]) {
        let now = world.now();
        let mut oracle = lock(&world.oracle);
        for entry in notified {
            oracle.notified(
                now,
                self.balancer,
                entry.upstream,
                entry.start.0,
                entry.state == State::Active,
            );
        }
    }

    /// Listens, at each address that it moves to.
    pub fn start(self: &Arc<Self>, world: &Arc<World>) -> Result<(), String> {
        let first = self.open(world, 0)?;
        let (own, world) = (self.clone(), world.clone());
        tokio::spawn(async move {
            let mut moves = own.moves.subscribe();
            let mut current = first;
            loop {
                tokio::select! {
                    changed = moves.changed() => if changed.is_err() { return },
                    () = world.ended() => return,
                }
                let at = *moves.borrow_and_update();
                match own.open(&world, at) {
                    Ok(next) => {
                        let left = std::mem::replace(&mut current, next);
                        tokio::spawn(async move {
                            tokio::time::sleep(LEFT_CLOSES).await;
                            drop(left);
                        });
                    }
                    Err(e) => tracing::warn!("discovery of {}: {e}", own.balancer),
                }
            }
        });
        Ok(())
    }

    /// One address. Once another is open it takes no new connection; dropping what is returned closes the old ones.
    fn open(self: &Arc<Self>, world: &Arc<World>, moves: u16) -> Result<watch::Sender<()>, String> {
        let at = world.block.agent(self.balancer, moves);
        let (tell, mode) = watch::channel(Manner::Open);
        let mut port = Port::bind(at, mode).map_err(|e| format!("{at}: {e}"))?;
        let (closing, closes) = watch::channel(());
        let (own, world) = (self.clone(), world.clone());
        tokio::spawn(async move {
            let mut changes = own.link.changes();
            let mut current = own.moves.subscribe();
            loop {
                let mode = match (*current.borrow_and_update() > moves, own.link.is_silent()) {
                    (true, _) => Manner::Refusing,
                    (false, true) => Manner::Silent,
                    (false, false) => Manner::Open,
                };
                tell.send_if_modified(|now| std::mem::replace(now, mode) != mode);
                let accepted = tokio::select! {
                    accepted = port.accept() => accepted,
                    _ = changes.changed() => continue,
                    _ = current.changed() => continue,
                    () = world.ended() => return,
                };
                let Ok(Some(stream)) = accepted else { return };
                let (own, world, mut closes) = (own.clone(), world.clone(), closes.clone());
                let gate = LinkedStream::new(stream, own.link.clone());
                tokio::spawn(async move {
                    let service = service_fn(|request| {
                        let (own, world) = (own.clone(), world.clone());
                        async move { Ok::<_, Infallible>(own.answer(&world, request).await) }
                    });
                    tokio::select! {
                        // How it ended is the balancer's to find out.
                        _ = http1::Builder::new().serve_connection(TokioIo::new(gate), service) => {}
                        _ = closes.changed() => {}
                    }
                });
            }
        });
        Ok(closing)
    }

    async fn answer<B>(&self, world: &World, request: Request<B>) -> Response<Full<Bytes>> {
        if request.uri().path() != "/api/targets" {
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
        let query = request.uri().query().unwrap_or_default();
        let figure = |name: &str| {
            let pair = query
                .split('&')
                .find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
            pair.and_then(|v| v.parse::<u64>().ok())
        };
        let (since, wait) = (
            figure("since"),
            figure("timeout_ms").unwrap_or(0).min(WAIT_MOST),
        );
        let mut mood = self.mood.subscribe();
        let now = *mood.borrow_and_update();
        if now == Mood::Silent {
            // What is silent stays so for this call; the next one may be answered.
            std::future::pending::<()>().await;
        }
        let mut changed = self.changed.subscribe();
        if let Some(since) = since.filter(|_| now == Mood::Sound) {
            let news = async {
                tokio::select! {
                    _ = changed.wait_for(|version| *version > since) => {}
                    _ = mood.changed() => {}
                }
            };
            // Nothing new in its time is an answer too.
            let _ = timeout(Duration::from_millis(wait), news).await;
            if *self.mood.borrow() == Mood::Silent {
                std::future::pending::<()>().await;
            }
        }
        let text = match *self.mood.borrow() {
            Mood::Garbled => r#"{"version":9,"full":true,"servers":[{"id":"#.to_string(),
            Mood::Stale => self.listing(world, None, true).1,
            Mood::Sound | Mood::Silent => {
                let (notified, text) = self.listing(world, since, false);
                self.note_notified(world, &notified);
                text
            }
        };
        Response::new(Full::new(Bytes::from(text)))
    }
}
