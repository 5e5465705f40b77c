//! One emulated machine: slots, a queue, cores, slow start and overload.
//!
//! Sans-I/O: the caller passes requests and the current time, and polls it at the time that it returns. Work is
//! scheduled on the cores in virtual time, so that polling late does not change the results.
use crate::draw::Upstream;
use crate::experiment::Millis;
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Identifies one request, or one piece of work, at one machine.
pub type Token = u64;

/// The allowance above the collapse limit for random variation, in requests.
const CHANCE_REQUESTS: f64 = 4.0;

/// How a machine admits a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request has a slot; its work may start.
    Slot,
    /// The request is queued; [`Machine::handle_departure`] of another request returns it once it has a slot.
    Queued,
    /// Rejected.
    Full,
}

/// A request that a machine was sent during its slow start.
struct SentWork {
    at: Millis,
    /// In milliseconds of a core.
    work: f64,
    /// Whether the sender had been notified of the machine's start.
    informed: bool,
}

/// The progress of a slow start, and the work sent during it.
struct SlowStart {
    since: Millis,
    /// Work done since the start, in milliseconds of a core.
    done: f64,
    /// Work sent within the window of the collapse limit.
    sent: VecDeque<SentWork>,
}

/// The load under which a machine collapses during its slow start.
#[derive(Clone, Copy, Debug)]
pub struct CollapseLimit {
    /// It collapses when it is sent this many times its current capacity ...
    pub multiple: f64,
    /// ... within this time.
    pub window: Millis,
}

/// How a machine collapsed during its slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Collapse {
    /// Work sent within the window, in milliseconds of a core.
    pub sent: f64,
    /// The limit of the work within the window.
    pub limit: f64,
    /// The share of the work sent that came from balancers that had been notified of its start.
    pub informed_share: f64,
}

/// One machine.
pub struct Machine {
    plan: Upstream,
    collapse_limit: CollapseLimit,
    /// Mean work of a request here, the allowance for chance in the collapse limit.
    mean_work: f64,
    /// The factor by which a fault slows it down; 1 without a fault.
    slowdown: f64,
    /// Open connections as a share of the limit.
    connections: f64,
    slow_start: Option<SlowStart>,
    collapse: Option<Collapse>,
    /// Requests in a slot.
    in_slot: HashSet<Token>,
    /// Requests that wait for a slot.
    queued: VecDeque<Token>,
    /// Work waiting for a core.
    ready: VecDeque<(Token, f64)>,
    /// Work on a core, by the time of its end.
    running: BTreeMap<(Micros, Token), f64>,
    overloaded_since: Option<Millis>,
    degraded_since: Option<Millis>,
    idle_since: Option<Millis>,
}

/// A point of the run in microseconds; unlike [`Millis`], it implements `Ord`.
type Micros = u64;

fn micros(at: Millis) -> Micros {
    (at.max(0.0) * 1000.0) as u64
}

fn millis(at: Micros) -> Millis {
    at as f64 / 1000.0
}

impl Machine {
    /// Returns a machine that is past its slow start.
    pub fn new(plan: Upstream, collapse_limit: CollapseLimit, mean_work: f64) -> Machine {
        Machine {
            plan,
            collapse_limit,
            mean_work,
            slowdown: 1.0,
            connections: 0.0,
            slow_start: None,
            collapse: None,
            in_slot: HashSet::new(),
            queued: VecDeque::new(),
            ready: VecDeque::new(),
            running: BTreeMap::new(),
            overloaded_since: None,
            degraded_since: None,
            idle_since: None,
        }
    }

    /// Restarts it, empty and at the beginning of its slow start.
    pub fn restart(&mut self, now: Millis) {
        let slowdown = self.slowdown;
        *self = Machine::new(self.plan.clone(), self.collapse_limit, self.mean_work);
        self.slowdown = slowdown;
        self.slow_start = Some(SlowStart {
            since: now,
            done: 0.0,
            sent: VecDeque::new(),
        });
    }

    /// Slows it down by this factor, as a fault; 1 removes the fault.
    pub fn slow_down(&mut self, times: f64) {
        self.slowdown = times.max(0.01);
    }

    /// Sets the number of open connections, as a share of the limit.
    pub fn set_connections(&mut self, share: f64) {
        self.connections = share.clamp(0.0, 1.0);
    }

    /// The share of its full capacity that is available during the slow start; 1 otherwise.
    pub fn slow_start_weight(&self, now: Millis) -> f64 {
        let Some(slow_start) = &self.slow_start else {
            return 1.0;
        };
        // Capacity rises with the time or the work done, whichever is further.
        let all = self.plan.slow_start_time * self.plan.cores as f64 * self.plan.speed;
        let by_time = (now - slow_start.since) / self.plan.slow_start_time.max(1.0);
        let by_work = slow_start.done / all.max(1.0);
        let progress = by_time.max(by_work);
        (self.plan.slow_start_from + (1.0 - self.plan.slow_start_from) * progress).min(1.0)
    }

    /// The work that each core does in a millisecond.
    fn rate(&self, now: Millis) -> f64 {
        let degradation = match (self.degraded_since, self.plan.overload) {
            (Some(_), Some(overload)) => overload.slower,
            _ => 1.0,
        };
        let capacity = 1.0 - self.plan.full_tax * self.connections;
        let speed = self.plan.speed * self.slow_start_weight(now) * capacity;
        (speed / degradation / self.slowdown).max(1e-6)
    }

    /// Requests in flight, including queued ones.
    pub fn in_flight(&self) -> usize {
        self.in_slot.len() + self.queued.len()
    }

    /// Whether it is slow because it was overloaded.
    pub fn is_degraded(&self) -> bool {
        self.degraded_since.is_some()
    }

    /// How it collapsed, if it did since its last start.
    pub fn collapse(&self) -> Option<Collapse> {
        self.collapse
    }

    /// Admits or rejects a request. `work` is its total work; `informed` is whether its sender has been notified of the
    /// last start.
    pub fn handle_request(
        &mut self,
        now: Millis,
        token: Token,
        work: f64,
        informed: bool,
    ) -> Admission {
        self.record_sent(now, work, informed);
        let admission = if self.collapse.is_some() {
            Admission::Full
        } else if self.in_slot.len() < self.plan.slots {
            self.in_slot.insert(token);
            Admission::Slot
        } else if self.queued.len() < self.plan.queue {
            self.queued.push_back(token);
            Admission::Queued
        } else {
            Admission::Full
        };
        self.update_overload(now);
        admission
    }

    fn record_sent(&mut self, now: Millis, work: f64, informed: bool) {
        let is_warm = self.slow_start_weight(now) >= 1.0;
        let Some(slow_start) = &mut self.slow_start else {
            return;
        };
        if is_warm {
            self.slow_start = None;
            return;
        }
        slow_start.sent.push_back(SentWork {
            at: now,
            work,
            informed,
        });
        let CollapseLimit { multiple, window } = self.collapse_limit;
        let is_past = |sent: &SentWork| sent.at < now - window;
        while slow_start.sent.front().is_some_and(is_past) {
            slow_start.sent.pop_front();
        }
        let sent: f64 = slow_start.sent.iter().map(|sent| sent.work).sum();
        let informed = slow_start.sent.iter().filter(|sent| sent.informed);
        let sent_by_informed: f64 = informed.map(|sent| sent.work).sum();
        let rate = self.plan.cores as f64 * self.plan.speed * self.slow_start_weight(now);
        // A few requests above the limit are random variation.
        let limit = multiple * rate * window + CHANCE_REQUESTS * self.mean_work;
        if sent > limit && self.collapse.is_none() {
            self.collapse = Some(Collapse {
                sent,
                limit,
                informed_share: sent_by_informed / sent,
            });
        }
    }

    /// Queues work of a request in a slot for a core; [`Machine::on_timeout`] returns it once it is done.
    pub fn start_work(&mut self, now: Millis, token: Token, work: f64) {
        self.ready.push_back((token, work.max(0.0)));
        self.fill_cores(now);
    }

    /// Cancels work that waits for a core; running work is cancelled only if `cancel_stops` is set.
    pub fn cancel_work(&mut self, now: Millis, token: Token) {
        self.ready.retain(|(t, _)| *t != token);
        if self.plan.cancel_stops {
            self.running.retain(|(_, t), _| *t != token);
        }
        self.fill_cores(now);
    }

    /// Removes a request, and returns the queued one that gets its slot.
    pub fn handle_departure(&mut self, now: Millis, token: Token) -> Option<Token> {
        let mut next = None;
        if self.in_slot.remove(&token) {
            next = self.queued.pop_front();
            self.in_slot.extend(next);
        } else {
            // A request from before a restart is neither in a slot nor queued.
            self.queued.retain(|t| *t != token);
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
            self.running.insert((micros(end), token), work);
        }
    }

    /// When [`Machine::on_timeout`] must be called next.
    pub fn next_timeout(&self) -> Option<Millis> {
        let work = self.running.keys().next().map(|&(at, _)| millis(at));
        let overload = self.plan.overload.and_then(|c| {
            let slow = self
                .overloaded_since
                .filter(|_| self.degraded_since.is_none())
                .map(|at| at + c.over);
            let idle = self
                .idle_since
                .filter(|_| self.degraded_since.is_some())
                .map(|at| at + c.rest);
            let latest = self.degraded_since.map(|at| at + c.most);
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

    /// Appends the work completed by now to `done`, in the order of completion.
    pub fn on_timeout(&mut self, now: Millis, done: &mut Vec<Token>) {
        while let Some(entry) = self.running.first_entry() {
            let (ends, token) = *entry.key();
            let at = millis(ends);
            if at > now {
                break;
            }
            let work = entry.remove();
            if let Some(slow_start) = &mut self.slow_start {
                slow_start.done += work;
            }
            done.push(token);
            // The core starts its next piece of work at the end of this one, not at the time of the poll.
            self.fill_cores(at);
        }
        self.update_overload(now);
    }

    fn update_overload(&mut self, now: Millis) {
        let Some(overload) = self.plan.overload else {
            return;
        };
        let in_flight_per_core = self.in_flight() as f64 / self.plan.cores as f64;
        self.overloaded_since = if in_flight_per_core >= overload.at {
            self.overloaded_since.or(Some(now))
        } else {
            None
        };
        self.idle_since = if in_flight_per_core < overload.below {
            self.idle_since.or(Some(now))
        } else {
            None
        };
        match self.degraded_since {
            None if self
                .overloaded_since
                .is_some_and(|at| now - at >= overload.over) =>
            {
                self.degraded_since = Some(now);
                self.idle_since = None;
            }
            Some(since) => {
                let idle = self.idle_since.is_some_and(|at| now - at >= overload.rest);
                if idle || now - since >= overload.most {
                    self.degraded_since = None;
                    self.overloaded_since = None;
                }
            }
            None => {}
        }
    }
}
