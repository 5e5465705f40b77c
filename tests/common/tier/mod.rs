//! A tier in miniature: many balancers before the same servers, clients that come again, and words with ages.
use super::{class, member, tenants};
use oakflow::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

/// Calls that a server works on at a time, the time that one takes, and the most that wait.
pub const SLOTS: usize = 4;
pub const TAKES: f64 = 40.0;
const QUEUE: usize = 100;
/// Words come this often.
const WORDS: f64 = 250.0;

/// What a client wants, over all its tries.
#[derive(Clone, Debug)]
pub struct Want {
    pub class: usize,
    pub tenant: usize,
    pub tie: u64,
    pub began: f64,
    pub tries: u32,
}

#[derive(Clone, Debug)]
enum Due {
    Arrival(usize),
    Try(Want),
    Timer(usize, u32),
    Done(usize, u64),
    Timeout(u64),
    Word,
}

struct At(f64, u64, Due);
impl PartialEq for At {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for At {}
impl PartialOrd for At {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for At {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

#[derive(Default)]
struct Server {
    busy: usize,
    queue: VecDeque<u64>,
}

/// An attempt that is out.
struct Out {
    copy: usize,
    request: RequestId,
    attempt: u32,
    server: usize,
    sent: f64,
}

pub struct Copy {
    pub balancer: Balancer,
    pub up: bool,
    pub joined: bool,
    open: BTreeMap<RequestId, (Want, u32)>,
}

/// One final answer, as its client saw it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub at: f64,
    pub copy: usize,
    pub want: Want,
    pub served: bool,
    pub retry_after: f64,
}

pub struct Tier {
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
    pub word: fn(f64, TierWord) -> Option<TierWord>,
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

pub fn settings(copies: usize) -> Settings {
    let sort =
        |worth| Class { objective: 500.0, deadline: 2000.0, worth, late_worth: 0.3, ..class(Effect::Free) };
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

pub fn zone_of(id: UpstreamId) -> u16 {
    (id.0 % 3) as u16
}

impl Tier {
    pub fn new(copies: usize, servers: usize, settings: Settings, seed: u64) -> Self {
        let list: Vec<Member> =
            (0..servers as u64).map(|id| Member { zone: zone_of(UpstreamId(id)), ..member(id) }).collect();
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
            let own = Settings { index: index as u32, zone: (index % 3) as u16, ..tier.settings.clone() };
            let balancer = Balancer::new(own, seed * 1000 + index as u64, 0.0).expect("settings");
            tier.copies.push(Copy { balancer, up: true, joined: true, open: BTreeMap::new() });
            tier.event(index, Event::Membership(Membership::Cached(list.clone())));
        }
        (0..tier.rates.len()).for_each(|tenant| tier.after(0.0, Due::Arrival(tenant)));
        tier.after(WORDS, Due::Word);
        tier
    }

    /// What the servers can do, in requests a second.
    pub fn can(&self) -> f64 {
        (self.servers.len() * SLOTS) as f64 * 1000.0 / TAKES
    }

    fn unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn after(&mut self, span: f64, due: Due) {
        self.number += 1;
        self.due.push(Reverse(At(self.now + span, self.number, due)));
    }

    pub fn run(&mut self, span: f64) {
        let until = self.now + span;
        while self.due.peek().is_some_and(|Reverse(At(at, ..))| *at <= until) {
            let Some(Reverse(At(at, _, due))) = self.due.pop() else { break };
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
                        self.ask(Want { class, tenant, tie, began: self.now, tries: 0 });
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
    pub fn believe(&mut self, copy: usize, times: f64) {
        let mut learned = Box::new(self.copies[copy].balancer.learned(self.now));
        learned.load.capacity *= times;
        self.event(copy, Event::Restored { learned, age: 0.0 });
    }

    /// Copies stop at once; what they held goes back to its clients.
    pub fn kill(&mut self, which: impl Fn(usize) -> bool) {
        for copy in (0..self.copies.len()).filter(|&c| which(c)) {
            self.copies[copy].up = false;
            let open: Vec<RequestId> = self.copies[copy].open.keys().copied().collect();
            open.into_iter().for_each(|id| self.refused(copy, id, 0.0));
            self.outs.retain(|_, o| o.copy != copy);
        }
    }

    /// A client's try at any copy that is up.
    fn ask(&mut self, want: Want) {
        let up: Vec<usize> = (0..self.copies.len()).filter(|&c| self.copies[c].up).collect();
        let copy = up[self.rng.next_u64() as usize % up.len()];
        self.ask_at(copy, want);
    }

    pub fn ask_at(&mut self, copy: usize, want: Want) {
        self.number += 1;
        let id = RequestId(self.number as u32);
        let deadline = want.began + self.settings.classes[want.class].deadline;
        let (class, tenant, tie) = (want.class, want.tenant, want.tie);
        let c = &mut self.copies[copy];
        c.open.insert(id, (want, 0));
        self.event(copy, Event::Request(Request { id, class, tenant, deadline, tie }));
    }

    fn work(&mut self, server: usize) {
        let slow = (self.slow)(server, self.now);
        while slow.is_finite() && self.servers[server].busy < SLOTS {
            let Some(out) = self.servers[server].queue.pop_front() else { break };
            self.servers[server].busy += 1;
            let takes = TAKES * slow * (0.5 + self.unit());
            self.after(takes, Due::Done(server, out));
        }
    }

    /// A server works on a call to its end, wanted or not.
    fn ended(&mut self, out: u64, ending: Ending) {
        let Some(Out { copy, request, attempt, sent, .. }) = self.outs.remove(&out) else { return };
        let closed = ending == Ending::Ok;
        let (want, duration) = (self.copies[copy].open.get(&request).cloned(), self.now - sent);
        self.event(copy, Event::Outcome { request, attempt, ending, duration, closed });
        if let Some((want, _)) = want.filter(|_| closed) {
            self.copies[copy].open.remove(&request);
            self.answers.push(Answer { at: self.now, copy, want, served: true, retry_after: 0.0 });
        }
    }

    fn event(&mut self, copy: usize, event: Event) {
        let mut actions = Vec::new();
        if !self.copies[copy].up {
            return;
        }
        self.copies[copy].balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.log.push((copy, action.clone()));
            match action {
                Action::Send { request, upstream, timeout } => self.send(copy, request, upstream, timeout),
                Action::SetTimer { after, token } => self.after(after, Due::Timer(copy, token)),
                Action::Refuse { request, retry_after, .. } => self.refused(copy, request, retry_after),
                Action::Fail { request } => self.refused(copy, request, 0.0),
                Action::Cancel { request, attempt } => {
                    let of = |o: &Out| o.copy == copy && (o.request, o.attempt) == (request, attempt);
                    if let Some(out) = self.outs.iter().find(|(_, o)| of(o)).map(|(&out, _)| out) {
                        self.ended(out, Ending::Cancelled);
                    }
                }
                Action::Log(_) | Action::CloseIdle(_) | Action::Subscribe => {}
            }
        }
    }

    fn send(&mut self, copy: usize, request: RequestId, upstream: UpstreamId, timeout: f64) {
        let server = upstream.0 as usize;
        let c = &mut self.copies[copy];
        let (want, sends) = c.open.get_mut(&request).expect("an open request");
        let attempt = std::mem::replace(sends, *sends + 1);
        let left = want.began + self.settings.classes[want.class].deadline - self.now;
        self.sends.push((self.now, copy, upstream, attempt));
        self.number += 1;
        let out = self.number;
        self.outs.insert(out, Out { copy, request, attempt, server, sent: self.now });
        let timeout = if timeout > 0.0 { timeout.min(left) } else { left };
        self.after(timeout.max(0.0), Due::Timeout(out));
        if (self.slow)(server, self.now).is_finite() && self.servers[server].queue.len() >= QUEUE {
            return self.ended(out, Ending::Full);
        }
        self.servers[server].queue.push_back(out);
        self.work(server);
    }

    fn refused(&mut self, copy: usize, request: RequestId, retry_after: f64) {
        let Some((want, _)) = self.copies[copy].open.remove(&request) else { return };
        self.answers.push(Answer { at: self.now, copy, want: want.clone(), served: false, retry_after });
        let pause = if retry_after > 0.0 { retry_after } else { 100.0 };
        let deadline = want.began + self.settings.classes[want.class].deadline;
        if want.tries < self.tries && self.now + pause < deadline {
            self.after(pause, Due::Try(Want { tries: want.tries + 1, ..want }));
        }
    }

    /// Words to all copies: sums of those that hear each other, without what is their own in the evidence.
    fn tell(&mut self) {
        let up: Vec<usize> = (0..self.copies.len()).filter(|&c| self.copies[c].up).collect();
        let (now, copies) = (self.now, &mut self.copies);
        let all: Vec<_> = up.iter().map(|&c| (c, copies[c].balancer.observed(now))).collect();
        let joined: Vec<_> = all.iter().filter(|(c, _)| self.copies[*c].joined).collect();
        let mut load = TierLoad { tenants: vec![TenantLoad::default(); 3], ..TierLoad::default() };
        for (_, Observed { load: l, .. }) in &joined {
            load.demand += l.demand;
            load.room += l.room;
            load.firsts += l.firsts;
            load.retries += l.retries;
            load.tenants.iter_mut().zip(&l.tenants).for_each(|(to, t)| to.demand += t.demand);
        }
        for (place, &(c, _)) in joined.iter().enumerate() {
            let mut evidence: BTreeMap<Subject, (u32, BTreeSet<u16>, u32)> = BTreeMap::new();
            for (other, Observed { against, cleared, .. }) in joined.iter().filter(|(other, _)| other != c) {
                for &subject in against.iter() {
                    let e = evidence.entry(subject).or_default();
                    e.0 += 1;
                    e.1.insert((other % 3) as u16);
                }
                cleared.iter().for_each(|&subject| evidence.entry(subject).or_default().2 += 1);
            }
            let evidence = evidence
                .into_iter()
                .map(|(subject, (observers, zones, cleared))| Evidence {
                    subject,
                    observers,
                    zones: zones.len() as u32,
                    cleared,
                    age: 100.0,
                })
                .collect();
            let sums = Some(TierSums { load: load.clone(), age: 300.0, error: 0.0 });
            let (up, place) = (joined.len() as u32, place as u32);
            if let Some(word) = (self.word)(self.now, TierWord { up, place, joined: true, sums, evidence }) {
                self.event(*c, Event::Tier(Box::new(word)));
            }
        }
    }

    /// Wants that were met per second in this time, within the aim and as long as copies told clients to wait.
    pub fn goodput(&self, from: f64, to: f64, of: impl Fn(&Want) -> bool) -> f64 {
        let good = |a: &&Answer| {
            let aim = self.settings.classes[a.want.class].objective;
            a.served && a.at - a.want.began <= aim + f64::from(a.want.tries) * 1500.0 && of(&a.want)
        };
        let within = self.answers.iter().filter(|a| a.at >= from && a.at < to);
        within.filter(good).count() as f64 * 1000.0 / (to - from)
    }

    /// The part of what a tenant asked for in this time that was met.
    pub fn met(&self, from: f64, to: f64, tenant: usize) -> f64 {
        let asked = self.asked.iter().filter(|a| a.0 >= from && a.0 < to && a.1 == tenant).count();
        self.goodput(from, to, |w| w.tenant == tenant) * (to - from) / 1000.0 / asked as f64
    }

    /// Attempts a second in this time that went to such servers.
    pub fn sent(&self, from: f64, to: f64, to_such: impl Fn(UpstreamId) -> bool) -> f64 {
        let such = self.sends.iter().filter(|s| s.0 >= from && s.0 < to && to_such(s.2));
        such.count() as f64 * 1000.0 / (to - from)
    }
}
