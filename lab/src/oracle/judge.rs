//! The oracle itself: takes what the stand-ins saw and hands it to the rules. Owns the tries that are remembered and
//! when each balancer could not act.
use super::client_calls::{Attempt, ClientCall};
use super::facts::{ClassRules, End, Final, Parts, Place, Seen};
use super::findings::{Findings, Suspect, Violation};
use super::peers::Peers;
use super::rule::Rule;
use super::rules::budget::Budget;
use super::rules::lost::{Case, Turned, ANSWER_GRACE};
use super::rules::trials::Counts;
use super::rules::{
    after_end, attempts, concurrent_attempts, drained::Notifications, effects::Effects, invented,
    refused, repeated, SLACK,
};
use super::rules::{in_share, stale};
use crate::experiment::Millis;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// How long a request is remembered after its end, to catch what is sent for it still.
const REMEMBERED: Millis = 10_000.0;

/// The checks and what they found.
pub struct Oracle {
    classes: Vec<ClassRules>,
    places: Vec<Place>,
    names: Vec<String>,
    upstreams: Vec<String>,
    attempts_most: usize,
    client_calls: HashMap<u64, ClientCall>,
    old: VecDeque<(Millis, u64)>,
    notified: Notifications,
    /// When each balancer could not act, or could not be reached.
    excused: HashMap<usize, Vec<(Millis, Millis)>>,
    effects: Effects,
    seen: Vec<Seen>,
    checked: u64,
    turned: Turned,
    peers: Peers,
    budget: Budget,
    trials: Counts,
    findings: Findings,
}

impl Oracle {
    /// Nothing seen yet.
    pub fn new(parts: Parts) -> Oracle {
        Oracle {
            seen: vec![Seen::default(); parts.balancers.len()],
            classes: parts.classes,
            places: parts.places,
            names: parts.balancers,
            upstreams: parts.upstreams,
            attempts_most: parts.attempts_most,
            client_calls: HashMap::new(),
            old: VecDeque::new(),
            notified: Notifications::new(parts.drain_grace),
            excused: HashMap::new(),
            effects: Effects::default(),
            checked: 0,
            turned: Turned::default(),
            peers: Peers::new(&parts.members, &parts.limits),
            budget: Budget::new(parts.limits.retries),
            trials: Counts::new(parts.limits.trials),
            findings: Findings::default(),
        }
    }

    /// Records a violation.
    pub fn breaks(&mut self, at: Millis, rule: Rule, case: String) {
        self.findings.breaks(at, rule, case);
    }

    fn suspects(&mut self, at: Millis, rule: Rule, (by, case): (Millis, String)) {
        self.findings.suspects(at, Suspect { rule, by, case });
    }

    /// The lab did something this much later than it meant to.
    pub fn lab_late(&mut self, now: Millis, by: Millis) {
        self.findings.lab_late(now, by);
    }

    /// Decides on what was suspected long enough ago for the lab's lateness around it to be known.
    pub fn judge(&mut self, now: Millis) {
        self.findings.judge(now);
    }

    /// The violations: the first cases of each rule, and how many there were.
    pub fn found(&self) -> (&[Violation], &BTreeMap<Rule, u64>) {
        self.findings.found()
    }

    /// What was seen of a balancer.
    pub fn seen(&self, balancer: usize) -> Seen {
        self.seen[balancer]
    }

    /// Requests that were checked to their end.
    pub fn checked(&self) -> u64 {
        self.checked
    }

    /// Keyed requests whose effect came about more than once.
    pub fn effects_twice(&self) -> u64 {
        self.effects.twice
    }

    /// A client has written a request whole to a balancer.
    pub fn taken(&mut self, now: Millis, id: u64, class: usize, balancer: usize, deadline: Millis) {
        let fresh = ClientCall {
            class,
            balancer,
            deadline,
            attempts: Vec::new(),
            over: None,
            served: Vec::new(),
        };
        // An attempt may have been seen a moment before the client's own note of its last byte.
        let known = self.client_calls.entry(id).or_insert_with(|| {
            self.seen[balancer].taken += 1;
            fresh
        });
        known.deadline = deadline;
        while self
            .old
            .front()
            .is_some_and(|&(at, _)| at < now - REMEMBERED)
        {
            if let Some((_, id)) = self.old.pop_front() {
                self.client_calls.remove(&id);
            }
        }
    }

    /// A balancer can't act or can't be reached from now until `until`: what it holds then is no fault of its own.
    pub fn excuse(&mut self, balancer: usize, from: Millis, until: Millis) {
        self.excused
            .entry(balancer)
            .or_default()
            .push((from, until));
    }

    /// A balancer's discovery has written the state of an upstream to it, after so many starts of that.
    pub fn notified(
        &mut self,
        now: Millis,
        balancer: usize,
        upstream: usize,
        start: usize,
        takes_work: bool,
    ) {
        self.notified
            .notified(now, balancer, upstream, start, takes_work);
    }

    /// Whether a balancer was notified of an upstream's latest start.
    pub fn knows_start(&self, balancer: usize, upstream: usize, start: usize) -> bool {
        self.notified.knows_start(balancer, upstream, start)
    }

    fn is_excused(&self, balancer: usize, from: Millis, to: Millis) -> bool {
        let windows = self.excused.get(&balancer);
        windows.is_some_and(|w| w.iter().any(|&(a, b)| a <= to && b >= from))
    }

    /// Whether an attempt of a request has reached an upstream.
    pub fn was_forwarded(&self, id: u64) -> bool {
        self.client_calls
            .get(&id)
            .is_some_and(|t| !t.attempts.is_empty())
    }

    /// How a request ended for its client.
    pub fn ended(&mut self, now: Millis, id: u64, how: Final) {
        let Some(t) = self.client_calls.get_mut(&id) else {
            return;
        };
        if t.over.is_some() {
            return;
        }
        t.over = Some(now);
        self.checked += 1;
        self.old.push_back((now, id));
        let balancer = t.balancer;
        self.seen[balancer].ended(how);
        let excused = self.is_excused(balancer, now - ANSWER_GRACE - SLACK, now + SLACK);
        let (Some(t), name) = (self.client_calls.get(&id), &self.names[balancer]) else {
            return;
        };
        // The first that is wrong names the case.
        if let Some(case) = invented::case(name, id, t, how) {
            return self.breaks(now, Rule::Invented, case);
        }
        let lost = if excused {
            None
        } else {
            self.turned.case(now, name, id, t, how)
        };
        match lost {
            Some(Case::None(case)) => return self.breaks(now, Rule::Lost, case),
            Some(Case::Late(by, case)) => return self.suspects(now, Rule::Lost, (by, case)),
            None => {}
        }
        if let Some(case) = refused::case(name, id, t, self.classes[t.class], how) {
            self.breaks(now, Rule::Refused, case);
        }
    }

    /// A balancer has sent this to a peer or to all of them.
    pub fn datagram(&mut self, now: Millis, from: usize, bytes: &[u8]) {
        for (rule, case) in self.peers.datagram(now, from, bytes, &self.names) {
            self.breaks(now, rule, case);
        }
    }

    /// A process of a balancer begins.
    pub fn starts(&mut self, balancer: usize, now: Millis) {
        self.peers.members.starts(balancer, now);
    }

    /// A balancer is ended, or asked to end, or paused.
    pub fn stops(&mut self, balancer: usize, now: Millis) {
        self.peers.members.stops(balancer, now);
    }

    /// One that was paused goes on.
    pub fn goes_on(&mut self, balancer: usize, now: Millis) {
        self.peers.members.goes_on(balancer, now);
    }

    /// Datagrams from one balancer to another are cut, or pass again.
    pub fn part(&mut self, from: usize, to: usize, parts: bool, now: Millis) {
        self.peers.members.part(from, to, parts, now);
    }

    /// So many datagrams are lost that nobody can be sure of anybody, or that is over.
    pub fn muffle(&mut self, muffles: bool, now: Millis) {
        self.peers.members.muffle(muffles, now);
    }

    /// A tenant within its share had this worth, and this much beside others that take more than theirs.
    pub fn in_share(&mut self, now: Millis, tenant: &str, before: f64, during: f64, least: f64) {
        if let Some(case) = in_share::case(tenant, before, during, least) {
            self.breaks(now, Rule::InShare, case);
        }
    }

    /// A balancer reports that it acts on something of this age.
    pub fn acts_on(&mut self, now: Millis, balancer: usize, what: &str, age: Millis, most: Millis) {
        if let Some(case) = stale::case(&self.names[balancer], what, age, most) {
            self.breaks(now, Rule::Stale, case);
        }
    }

    /// An attempt has come whole to an upstream. The number names it from now on.
    pub fn attempt(
        &mut self,
        now: Millis,
        id: u64,
        balancer: usize,
        upstream: usize,
    ) -> Option<usize> {
        let route = format!("{} to {}", self.names[balancer], self.upstreams[upstream]);
        if let Some(case) = self.notified.case(now, &route, id, balancer, upstream) {
            self.suspects(now, Rule::Drained, case);
        }
        let Some(t) = self.client_calls.get_mut(&id) else {
            self.breaks(
                now,
                Rule::Foreign,
                format!("{route}: {id:016x} was sent by no client"),
            );
            return None;
        };
        let number = t.attempts.len();
        let too_many = attempts::case(&route, id, number, self.attempts_most);
        let ran_at = repeated::ran_at(now, t, self.classes[t.class], &self.places, upstream);
        let after = after_end::case(now, &route, id, t);
        t.attempts.push(Attempt {
            upstream,
            began: now,
            end: None,
        });
        let place = self.places[upstream];
        let over = self.budget.attempt(now, place.tier, number == 0);
        let trials = self.trials.attempt(now, place.zone, place.tier);
        self.seen[balancer].attempts += 1;
        if let Some(case) = too_many {
            self.breaks(now, Rule::Attempts, case);
        }
        if let Some(earlier) = ran_at {
            let case = format!(
                "{route}: {id:016x} may have run at {}",
                self.upstreams[earlier]
            );
            self.breaks(now, Rule::Repeated, case);
        }
        if let Some(case) = over {
            self.breaks(now, Rule::Budget, case);
        }
        if let Some(most) = trials {
            self.breaks(
                now,
                Rule::Trials,
                format!("{route}: more than {most} attempts in a second"),
            );
        }
        if let Some(case) = after {
            self.suspects(now, Rule::AfterEnd, case);
        }
        Some(number)
    }

    /// An attempt is over at its upstream. `hidden`: the link to it was cut meanwhile, so that an earlier end could
    /// not be seen.
    pub fn attempt_ended(&mut self, now: Millis, id: u64, number: usize, end: End, hidden: bool) {
        let Some(t) = self.client_calls.get_mut(&id) else {
            return;
        };
        let Some(attempt) = t.attempts.get_mut(number) else {
            return;
        };
        attempt.end = Some(end);
        if let End::Served(mark) = end {
            t.served.push(mark);
        }
        let two = if hidden {
            None
        } else {
            concurrent_attempts::case(now, &self.names[t.balancer], id, t, number)
        };
        if let Some(case) = two {
            self.suspects(now, Rule::ConcurrentAttempts, case);
        }
    }

    /// The work of a keyed request was done at an upstream; says whether its effect came about already, so that
    /// this was dropped as a repeat.
    pub fn effect(&mut self, now: Millis, key: u64, class: usize, upstream: usize) -> bool {
        self.effects
            .effect(now, key, self.classes[class], self.places[upstream])
    }

    /// Nothing is judged any more.
    pub fn close(&mut self) {
        self.findings.close();
    }

    /// Everything is over: what has no end by now never gets one.
    pub fn finish(&mut self, now: Millis) {
        let open: Vec<u64> = self
            .client_calls
            .iter()
            .filter(|(_, t)| t.over.is_none())
            .map(|(&id, _)| id)
            .collect();
        for id in open {
            self.ended(now, id, Final::TimedOut);
        }
        if let Some(case) = self.turned.too_many(self.checked) {
            self.breaks(now, Rule::Lost, case);
        }
        self.judge(f64::INFINITY);
    }
}
