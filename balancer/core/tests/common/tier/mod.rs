//! A tier in miniature: many balancers before the same servers, clients that come again, and words with ages.
mod clients;
mod exchange;
mod measures;
mod schedule;
mod servers;

pub(crate) use self::clients::{Answer, Want};
use self::schedule::{At, Due};
use self::servers::{Out, Server};
use super::{class, endpoint, tenants};
use balancer_core::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Calls that a server works on at a time, the time that one takes, and the most that wait.
pub(crate) const SLOTS: usize = 4;
pub(crate) const TAKES: f64 = 40.0;
const QUEUE: usize = 100;
/// Words come this often.
const WORDS: f64 = 250.0;

pub(crate) struct Copy {
    pub balancer: Balancer,
    pub up: bool,
    pub joined: bool,
    open: BTreeMap<RequestId, (Want, u32)>,
}

pub(crate) struct Tier {
    pub now: f64,
    pub copies: Vec<Copy>,
    servers: Vec<Server>,
    pub settings: Settings,
    /// Requests a second by each tenant, with the part of them that is of the first class.
    pub rates: Vec<(f64, f64)>,
    /// Times as long as a server takes now; a dead one answers nothing.
    pub slow: Box<dyn Fn(usize, f64) -> f64>,
    /// The part of a server's answers that are errors, however soon it gives them.
    pub errs: Box<dyn Fn(usize, f64) -> f64>,
    /// Words pass through this on their way to a copy; what it drops is lost.
    pub word: fn(f64, TierUpdate) -> Option<TierUpdate>,
    /// All that was decided, in order.
    pub log: Vec<(usize, Action)>,
    /// How many times a client comes again.
    pub tries: u32,
    /// When each want of each tenant first came, and every answer.
    pub asked: Vec<(f64, usize)>,
    pub answers: Vec<Answer>,
    pub sends: Vec<(f64, usize, UpstreamId, u32)>,
    due: BinaryHeap<Reverse<At>>,
    outs: BTreeMap<u64, Out>,
    number: u64,
    rng: Pcg64Mcg,
}

pub(crate) fn settings(copies: usize) -> Settings {
    let sort = |value| Class {
        objective: 500.0,
        deadline: 2000.0,
        value,
        late_value: 0.3,
        ..class(Effect::Free)
    };
    Settings {
        balancers: copies as u32,
        classes: vec![sort(1.0), sort(8.0)],
        tenants: tenants(&[0.5, 0.5], 1000.0),
        cancel: true,
        max_retry_after: 1500.0,
        cross_zone_price: 0.01,
        ..Settings::default()
    }
}

pub(crate) fn zone_of(id: UpstreamId) -> u16 {
    (id.0 % 3) as u16
}

impl Tier {
    pub(crate) fn new(copies: usize, servers: usize, settings: Settings, seed: u64) -> Self {
        let list: Vec<Endpoint> = (0..servers as u64)
            .map(|id| Endpoint {
                zone: zone_of(UpstreamId(id)),
                ..endpoint(id)
            })
            .collect();
        let mut tier = Tier {
            now: 0.0,
            copies: Vec::new(),
            servers: (0..servers).map(|_| Server::default()).collect(),
            settings,
            rates: vec![(0.0, 0.5); 2],
            slow: Box::new(|_, _| 1.0),
            errs: Box::new(|_, _| 0.0),
            word: |_, word| Some(word),
            log: Vec::new(),
            tries: 3,
            answers: Vec::new(),
            asked: Vec::new(),
            sends: Vec::new(),
            due: BinaryHeap::new(),
            outs: BTreeMap::new(),
            number: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        for index in 0..copies {
            let own = Settings {
                index: index as u32,
                zone: (index % 3) as u16,
                ..tier.settings.clone()
            };
            let balancer = Balancer::new(own, seed * 1000 + index as u64, 0.0).expect("settings");
            tier.copies.push(Copy {
                balancer,
                up: true,
                joined: true,
                open: BTreeMap::new(),
            });
            tier.event(
                index,
                Event::EndpointUpdate(EndpointUpdate::Cached(list.clone())),
            );
        }
        (0..tier.rates.len()).for_each(|tenant| tier.after(0.0, Due::Arrival(tenant)));
        tier.after(WORDS, Due::Word);
        tier
    }

    /// What the servers can do, in requests a second.
    pub(crate) fn can(&self) -> f64 {
        (self.servers.len() * SLOTS) as f64 * 1000.0 / TAKES
    }

    fn unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn after(&mut self, span: f64, due: Due) {
        self.number += 1;
        self.due
            .push(Reverse(At(self.now + span, self.number, due)));
    }

    pub(crate) fn run(&mut self, span: f64) {
        let until = self.now + span;
        while self
            .due
            .peek()
            .is_some_and(|Reverse(At(at, ..))| *at <= until)
        {
            let Some(Reverse(At(at, _, due))) = self.due.pop() else {
                break;
            };
            self.now = at;
            match due {
                Due::Arrival(tenant) => {
                    let (rate, first) = self.rates[tenant];
                    let pause = -(1.0 - self.unit()).ln() * 1000.0 / rate.max(0.001);
                    self.after(pause.min(100.0), Due::Arrival(tenant));
                    if pause <= 100.0 {
                        let class = usize::from(self.unit() >= first);
                        let tie = self.rng.next_u64();
                        self.asked.push((self.now, tenant));
                        self.ask(Want {
                            class,
                            tenant,
                            tie,
                            began: self.now,
                            tries: 0,
                        });
                    }
                }
                Due::Try(want) => self.ask(want),
                Due::Timer(copy, token) => self.event(copy, Event::Timer(token)),
                Due::Done(server, out) => {
                    let bad = self.unit() < (self.errs)(server, self.now);
                    self.ended(out, if bad { Ending::Error } else { Ending::Ok });
                    self.servers[server].busy -= 1;
                    self.work(server);
                }
                Due::Timeout(out) => self.ended(out, Ending::Timeout),
                Due::Word => {
                    self.tell();
                    self.after(WORDS, Due::Word);
                }
            }
        }
        self.now = until;
    }

    /// Gives a copy another view of the room there is.
    pub(crate) fn believe(&mut self, copy: usize, times: f64) {
        let mut learned = Box::new(self.copies[copy].balancer.learned(self.now));
        learned.load.capacity *= times;
        self.event(copy, Event::Restored { learned, age: 0.0 });
    }

    /// Copies stop at once; what they held goes back to its clients.
    pub(crate) fn kill(&mut self, which: impl Fn(usize) -> bool) {
        for copy in (0..self.copies.len()).filter(|&c| which(c)) {
            self.copies[copy].up = false;
            let open: Vec<RequestId> = self.copies[copy].open.keys().copied().collect();
            open.into_iter().for_each(|id| self.refused(copy, id, 0.0));
            self.outs.retain(|_, o| o.copy != copy);
        }
    }

    fn event(&mut self, copy: usize, event: Event) {
        let mut actions = Vec::new();
        if !self.copies[copy].up {
            return;
        }
        self.copies[copy]
            .balancer
            .handle(self.now, event, &mut actions);
        for action in actions {
            self.log.push((copy, action.clone()));
            match action {
                Action::Send {
                    request,
                    upstream,
                    timeout,
                    ..
                } => self.send(copy, request, upstream, timeout),
                Action::SetTimer { after, token } => self.after(after, Due::Timer(copy, token)),
                Action::Refuse {
                    request,
                    retry_after,
                    ..
                } => self.refused(copy, request, retry_after),
                Action::Fail { request } => self.refused(copy, request, 0.0),
                Action::Cancel { request, attempt } => {
                    let of =
                        |o: &Out| o.copy == copy && (o.request, o.attempt) == (request, attempt);
                    if let Some(out) = self.outs.iter().find(|(_, o)| of(o)).map(|(&out, _)| out) {
                        self.ended(out, Ending::Cancelled);
                    }
                }
                Action::Log(_) | Action::CloseIdle(_) | Action::Subscribe => {}
            }
        }
    }
}
