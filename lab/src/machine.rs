//! One emulated machine: slots, a queue, cores, warmth, and what overload does to it.
//!
//! Sans-I/O: it takes requests and the time, and answers when it is to be polled again. Work is laid out
//! on the cores by its own clock, so that a host that asks a little late changes no figure.
use crate::draw::Upstream;
use crate::experiment::Millis;
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Names one request, or one piece of work, at one machine.
pub type Token = u64;

/// How a machine admits a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A slot: its work may begin.
    Slot,
    /// Queued: the one whose [`Machine::leave`] frees a slot names it.
    Queued,
    /// Turned away.
    Full,
}

/// How far a cold start has come, and what is sent meanwhile.
struct Cold {
    since: Millis,
    /// Work done since the start, in milliseconds of a core.
    done: f64,
    /// Work sent lately: when, how much, and whether by a balancer that had been notified of the start.
    sent: VecDeque<(Millis, f64, bool)>,
}

/// The bound on what a cold machine bears.
#[derive(Clone, Copy, Debug)]
pub struct Tipping {
    /// It falls over when sent this many times what it can do at that moment ...
    pub multiple: f64,
    /// ... for this long.
    pub fall: Millis,
}

/// How a machine fell over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tipped {
    /// Work sent within the window, in milliseconds of a core.
    pub sent: f64,
    /// What it bears in such a window.
    pub bears: f64,
    /// The part of it that came from balancers that had been notified of its start.
    pub knew_start: f64,
}

/// One machine.
pub struct Machine {
    plan: Upstream,
    tipping: Tipping,
    /// Mean work of a request here, the allowance for chance in what tips it.
    mean_work: f64,
    /// Times slower by a fault.
    slower: f64,
    /// Open connections as a part of the most.
    connections: f64,
    cold: Option<Cold>,
    tipped: Option<Tipped>,
    /// Requests in a slot.
    inside: HashSet<Token>,
    waiting: VecDeque<Token>,
    /// Work that waits for a core.
    ready: VecDeque<(Token, f64)>,
    /// Work on a core: when it ends.
    running: BTreeMap<(u64, Token), f64>,
    overloaded: Option<Millis>,
    degraded: Option<Millis>,
    idle: Option<Millis>,
}

/// An order for times that are never NaN.
fn key(at: Millis) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}

impl Machine {
    /// A warm machine.
    pub fn new(plan: Upstream, tipping: Tipping, mean_work: f64) -> Machine {
        Machine {
            plan,
            tipping,
            mean_work,
            slower: 1.0,
            connections: 0.0,
            cold: None,
            tipped: None,
            inside: HashSet::new(),
            waiting: VecDeque::new(),
            ready: VecDeque::new(),
            running: BTreeMap::new(),
            overloaded: None,
            degraded: None,
            idle: None,
        }
    }

    /// Starts anew, cold, with nothing in it.
    pub fn restart(&mut self, now: Millis) {
        let slower = self.slower;
        *self = Machine::new(self.plan.clone(), self.tipping, self.mean_work);
        self.slower = slower;
        self.cold = Some(Cold {
            since: now,
            done: 0.0,
            sent: VecDeque::new(),
        });
    }

    /// A fault makes it this many times slower; 1 ends that.
    pub fn slow_down(&mut self, times: f64) {
        self.slower = times.max(0.01);
    }

    /// The part of its table of connections that is in use.
    pub fn connected(&mut self, part: f64) {
        self.connections = part.clamp(0.0, 1.0);
    }

    /// The part of its capacity that it has as warm as it is now.
    pub fn warmth(&self, now: Millis) -> f64 {
        let Some(cold) = &self.cold else { return 1.0 };
        // Capacity rises with time, or with the work done if that is more.
        let all = self.plan.cold_for * self.plan.cores as f64 * self.plan.speed;
        let progress =
            ((now - cold.since) / self.plan.cold_for.max(1.0)).max(cold.done / all.max(1.0));
        (self.plan.cold_from + (1.0 - self.plan.cold_from) * progress).min(1.0)
    }

    /// What each core does in a millisecond.
    fn rate(&self, now: Millis) -> f64 {
        let choke = match (self.degraded, self.plan.choke) {
            (Some(_), Some(choke)) => choke.slower,
            _ => 1.0,
        };
        let table = 1.0 - self.plan.full_tax * self.connections;
        (self.plan.speed * self.warmth(now) * table / choke / self.slower).max(1e-6)
    }

    /// Requests that it holds, those that wait included.
    pub fn holds(&self) -> usize {
        self.inside.len() + self.waiting.len()
    }

    /// Whether it is slow because it was overloaded.
    pub fn is_degraded(&self) -> bool {
        self.degraded.is_some()
    }

    /// How it fell over, if it did since its last start.
    pub fn tipped(&self) -> Option<Tipped> {
        self.tipped
    }

    /// A request comes: `work` is what it asks for in all, `knew_start` whether its sender knew of the last start.
    pub fn enter(&mut self, now: Millis, token: Token, work: f64, knew_start: bool) -> Admission {
        self.note_sent(now, work, knew_start);
        let admission = if self.tipped.is_some() {
            Admission::Full
        } else if self.inside.len() < self.plan.slots {
            self.inside.insert(token);
            Admission::Slot
        } else if self.waiting.len() < self.plan.queue {
            self.waiting.push_back(token);
            Admission::Queued
        } else {
            Admission::Full
        };
        self.update_overload(now);
        admission
    }

    fn note_sent(&mut self, now: Millis, work: f64, knew_start: bool) {
        let warm = self.warmth(now) >= 1.0;
        let Some(cold) = &mut self.cold else { return };
        if warm {
            self.cold = None;
            return;
        }
        cold.sent.push_back((now, work, knew_start));
        while cold
            .sent
            .front()
            .is_some_and(|&(at, ..)| at < now - self.tipping.fall)
        {
            cold.sent.pop_front();
        }
        let sent: f64 = cold.sent.iter().map(|(_, work, _)| work).sum();
        let by_informed: f64 = cold
            .sent
            .iter()
            .filter(|(.., knew_start)| *knew_start)
            .map(|(_, work, _)| work)
            .sum();
        let can = self.plan.cores as f64 * self.plan.speed * self.warmth(now);
        // A few requests more than the budget are chance.
        let bears = self.tipping.multiple * can * self.tipping.fall + 4.0 * self.mean_work;
        if sent > bears && self.tipped.is_none() {
            self.tipped = Some(Tipped {
                sent,
                bears,
                knew_start: by_informed / sent,
            });
        }
    }

    /// A request in a slot asks for a core for this much work; [`Machine::advance`] says when it is done.
    pub fn work(&mut self, now: Millis, token: Token, work: f64) {
        self.ready.push_back((token, work.max(0.0)));
        self.fill_cores(now);
    }

    /// A piece of work is given up; what runs goes on where the machine does not stop it.
    pub fn drop_work(&mut self, now: Millis, token: Token) {
        self.ready.retain(|(t, _)| *t != token);
        if self.plan.cancel_stops {
            self.running.retain(|(_, t), _| *t != token);
        }
        self.fill_cores(now);
    }

    /// A request leaves its place, wherever it is. The one that gets its slot, if one waited.
    pub fn leave(&mut self, now: Millis, token: Token) -> Option<Token> {
        let mut next = None;
        if self.inside.remove(&token) {
            next = self.waiting.pop_front();
            self.inside.extend(next);
        } else {
            // One from before a restart is in neither place.
            self.waiting.retain(|t| *t != token);
        }
        self.update_overload(now);
        next
    }

    fn fill_cores(&mut self, now: Millis) {
        while self.running.len() < self.plan.cores {
            let Some((token, work)) = self.ready.pop_front() else {
                return;
            };
            let end = now + work / self.rate(now);
            self.running.insert((key(end), token), work);
        }
    }

    /// When it is to be polled next.
    pub fn next(&self) -> Option<Millis> {
        let work = self
            .running
            .keys()
            .next()
            .map(|&(at, _)| at as f64 / 1000.0);
        let overload = self.plan.choke.and_then(|c| {
            let slow = self
                .overloaded
                .filter(|_| self.degraded.is_none())
                .map(|at| at + c.over);
            let idle = self
                .idle
                .filter(|_| self.degraded.is_some())
                .map(|at| at + c.rest);
            let latest = self.degraded.map(|at| at + c.most);
            [slow, idle, latest]
                .into_iter()
                .flatten()
                .min_by(f64::total_cmp)
        });
        [work, overload]
            .into_iter()
            .flatten()
            .min_by(f64::total_cmp)
    }

    /// Adds the work that is done by now, each piece ended at its own time.
    pub fn advance(&mut self, now: Millis, done: &mut Vec<Token>) {
        while let Some(entry) = self.running.first_entry() {
            let (ends, token) = *entry.key();
            let at = ends as f64 / 1000.0;
            if at > now {
                break;
            }
            let work = entry.remove();
            if let Some(cold) = &mut self.cold {
                cold.done += work;
            }
            done.push(token);
            // The core takes up its next piece when this one ended, not when somebody looked.
            self.fill_cores(at);
        }
        self.update_overload(now);
    }

    fn update_overload(&mut self, now: Millis) {
        let Some(choke) = self.plan.choke else { return };
        let held_per_core = self.holds() as f64 / self.plan.cores as f64;
        self.overloaded = if held_per_core >= choke.at {
            self.overloaded.or(Some(now))
        } else {
            None
        };
        self.idle = if held_per_core < choke.below {
            self.idle.or(Some(now))
        } else {
            None
        };
        match self.degraded {
            None if self.overloaded.is_some_and(|at| now - at >= choke.over) => {
                self.degraded = Some(now);
                self.idle = None;
            }
            Some(since) => {
                let idle = self.idle.is_some_and(|at| now - at >= choke.rest);
                if idle || now - since >= choke.most {
                    self.degraded = None;
                    self.overloaded = None;
                }
            }
            None => {}
        }
    }
}
