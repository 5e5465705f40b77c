//! The oracle: passes observations to the rules. Owns the recent client calls and the intervals in which each balancer
//! could not act.
use super::client_calls::{Attempt, ClientCall};
use super::facts::{ClassRules, End, Final, ObservedCounts, OracleConfig, Place};
use super::findings::{Findings, Suspect, Violation};
use super::peers::Peers;
use super::rule::Rule;
use super::rules::budget::Budget;
use super::rules::lost::{Case, ClosedConnections, ANSWER_GRACE};
use super::rules::trials::Counts;
use super::rules::{
    after_end, attempts, concurrent_attempts, drained::Notifications, effects::Effects, invented,
    refused, repeated, SLACK,
};
use super::rules::{in_share, stale};
use crate::experiment::Millis;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// How long a client call is retained after its end, to detect attempts that are sent later.
const CALL_RETENTION: Millis = 10_000.0;

/// The rules, their state and the violations found.
pub struct Oracle {
    classes: Vec<ClassRules>,
    places: Vec<Place>,
    names: Vec<String>,
    upstreams: Vec<String>,
    max_attempts: usize,
    client_calls: HashMap<u64, ClientCall>,
    /// Ended client calls with the time of their end, oldest first.
    ended_calls: VecDeque<(Millis, u64)>,
    notified: Notifications,
    /// Intervals in which each balancer could not act or could not be reached.
    excluded: HashMap<usize, Vec<(Millis, Millis)>>,
    effects: Effects,
    seen: Vec<ObservedCounts>,
    checked: u64,
    closed_connections: ClosedConnections,
    peers: Peers,
    budget: Budget,
    trials: Counts,
    findings: Findings,
}

impl Oracle {
    /// Returns an oracle without observations.
    pub fn new(config: OracleConfig) -> Oracle {
        Oracle {
            seen: vec![ObservedCounts::default(); config.balancers.len()],
            classes: config.classes,
            places: config.places,
            names: config.balancers,
            upstreams: config.upstreams,
            max_attempts: config.max_attempts,
            client_calls: HashMap::new(),
            ended_calls: VecDeque::new(),
            notified: Notifications::new(config.drain_grace),
            excluded: HashMap::new(),
            effects: Effects::default(),
            checked: 0,
            closed_connections: ClosedConnections::default(),
            peers: Peers::new(&config.members, &config.limits),
            budget: Budget::new(config.limits.retries),
            trials: Counts::new(config.limits.trials),
            findings: Findings::default(),
        }
    }

    /// Records a violation.
    pub fn record_violation(&mut self, at: Millis, rule: Rule, case: String) {
        self.findings.record_violation(at, rule, case);
    }

    fn suspects(&mut self, at: Millis, rule: Rule, (by, case): (Millis, String)) {
        self.findings.suspects(at, Suspect { rule, by, case });
    }

    /// Records that the lab acted later than scheduled by the given time.
    pub fn lab_late(&mut self, now: Millis, by: Millis) {
        self.findings.lab_late(now, by);
    }

    /// Decides on suspected violations that are old enough for the lab's lateness around them to be known.
    pub fn judge(&mut self, now: Millis) {
        self.findings.judge(now);
    }

    /// Returns the first violations of each rule, and the total count per rule.
    pub fn violations(&self) -> (&[Violation], &BTreeMap<Rule, u64>) {
        self.findings.violations()
    }

    /// Returns the counts of what was observed of a balancer.
    pub fn seen(&self, balancer: usize) -> ObservedCounts {
        self.seen[balancer]
    }

    /// Returns the number of client calls that were checked to their end.
    pub fn checked(&self) -> u64 {
        self.checked
    }

    /// Returns the number of keyed requests that took effect more than once.
    pub fn effects_twice(&self) -> u64 {
        self.effects.twice
    }

    /// Records that a client has completely written a request to a balancer.
    pub fn request_sent(
        &mut self,
        now: Millis,
        id: u64,
        class: usize,
        balancer: usize,
        deadline: Millis,
    ) {
        let fresh = ClientCall {
            class,
            balancer,
            deadline,
            attempts: Vec::new(),
            ended_at: None,
            served: Vec::new(),
        };
        // An upstream can receive the attempt before the client task has recorded its last byte.
        let call = self.client_calls.entry(id).or_insert_with(|| {
            self.seen[balancer].taken += 1;
            fresh
        });
        call.deadline = deadline;
        while self
            .ended_calls
            .front()
            .is_some_and(|&(at, _)| at < now - CALL_RETENTION)
        {
            if let Some((_, id)) = self.ended_calls.pop_front() {
                self.client_calls.remove(&id);
            }
        }
    }

    /// Records that a balancer cannot act or be reached between two times: requests lost then are not violations.
    pub fn exclude_interval(&mut self, balancer: usize, from: Millis, until: Millis) {
        self.excluded
            .entry(balancer)
            .or_default()
            .push((from, until));
    }

    /// Records that discovery has sent a balancer the state of an upstream; `start` is the upstream's start count.
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

    /// Whether a balancer was notified of this start of an upstream or a later one.
    pub fn knows_start(&self, balancer: usize, upstream: usize, start: usize) -> bool {
        self.notified.knows_start(balancer, upstream, start)
    }

    fn is_excluded(&self, balancer: usize, from: Millis, to: Millis) -> bool {
        let windows = self.excluded.get(&balancer);
        windows.is_some_and(|w| w.iter().any(|&(a, b)| a <= to && b >= from))
    }

    /// Whether an attempt of a client call has reached an upstream.
    pub fn was_forwarded(&self, id: u64) -> bool {
        self.client_calls
            .get(&id)
            .is_some_and(|call| !call.attempts.is_empty())
    }

    /// Records how a client call ended and checks the rules on it.
    pub fn ended(&mut self, now: Millis, id: u64, how: Final) {
        let Some(call) = self.client_calls.get_mut(&id) else {
            return;
        };
        if call.ended_at.is_some() {
            return;
        }
        call.ended_at = Some(now);
        self.checked += 1;
        self.ended_calls.push_back((now, id));
        let balancer = call.balancer;
        self.seen[balancer].ended(how);
        let excluded = self.is_excluded(balancer, now - ANSWER_GRACE - SLACK, now + SLACK);
        let (Some(call), name) = (self.client_calls.get(&id), &self.names[balancer]) else {
            return;
        };
        // Only the first violated rule is reported.
        if let Some(case) = invented::check(name, id, call, how) {
            return self.record_violation(now, Rule::Invented, case);
        }
        let lost = if excluded {
            None
        } else {
            self.closed_connections.check(now, name, id, call, how)
        };
        match lost {
            Some(Case::None(case)) => return self.record_violation(now, Rule::Lost, case),
            Some(Case::Late(by, case)) => return self.suspects(now, Rule::Lost, (by, case)),
            None => {}
        }
        if let Some(case) = refused::check(name, id, call, self.classes[call.class], how) {
            self.record_violation(now, Rule::Refused, case);
        }
    }

    /// Checks a datagram that a balancer has sent to its peers.
    pub fn datagram(&mut self, now: Millis, from: usize, bytes: &[u8]) {
        for (rule, case) in self.peers.datagram(now, from, bytes, &self.names) {
            self.record_violation(now, rule, case);
        }
    }

    /// Records that a process of a balancer starts.
    pub fn started(&mut self, balancer: usize, now: Millis) {
        self.peers.members.started(balancer, now);
    }

    /// Records that a balancer is killed, asked to shut down, or paused.
    pub fn stopped(&mut self, balancer: usize, now: Millis) {
        self.peers.members.stopped(balancer, now);
    }

    /// Records that a paused balancer resumes.
    pub fn resumed(&mut self, balancer: usize, now: Millis) {
        self.peers.members.resumed(balancer, now);
    }

    /// Records that a partition between two balancers begins (`partitioned`) or heals.
    pub fn set_partitioned(&mut self, from: usize, to: usize, partitioned: bool, now: Millis) {
        self.peers
            .members
            .set_partitioned(from, to, partitioned, now);
    }

    /// Records that datagram loss too heavy for failure detection begins (`begins`) or ends.
    pub fn set_heavy_loss(&mut self, begins: bool, now: Millis) {
        self.peers.members.set_heavy_loss(begins, now);
    }

    /// Checks the value of a tenant within its share, before and while another tenant exceeds its share.
    pub fn check_tenant_value(
        &mut self,
        now: Millis,
        tenant: &str,
        before: f64,
        during: f64,
        least: f64,
    ) {
        if let Some(case) = in_share::check(tenant, before, during, least) {
            self.record_violation(now, Rule::InShare, case);
        }
    }

    /// Checks the age of shared data that a balancer reports acting on.
    pub fn check_age(
        &mut self,
        now: Millis,
        balancer: usize,
        what: &str,
        age: Millis,
        most: Millis,
    ) {
        if let Some(case) = stale::check(&self.names[balancer], what, age, most) {
            self.record_violation(now, Rule::Stale, case);
        }
    }

    /// Records and checks an attempt that an upstream has completely received. Returns its index within the client
    /// call.
    pub fn attempt(
        &mut self,
        now: Millis,
        id: u64,
        balancer: usize,
        upstream: usize,
    ) -> Option<usize> {
        let route = format!("{} to {}", self.names[balancer], self.upstreams[upstream]);
        if let Some(case) = self.notified.check(now, &route, id, balancer, upstream) {
            self.suspects(now, Rule::Drained, case);
        }
        let Some(call) = self.client_calls.get_mut(&id) else {
            self.record_violation(
                now,
                Rule::Foreign,
                format!("{route}: no client sent request {id:016x}"),
            );
            return None;
        };
        let number = call.attempts.len();
        let too_many = attempts::check(&route, id, number, self.max_attempts);
        let ran_at = repeated::ran_at(now, call, self.classes[call.class], &self.places, upstream);
        let after = after_end::check(now, &route, id, call);
        call.attempts.push(Attempt {
            upstream,
            began: now,
            end: None,
        });
        let place = self.places[upstream];
        let over_budget = self.budget.attempt(now, place.tier, number == 0);
        let trials = self.trials.attempt(now, place.zone, place.tier);
        self.seen[balancer].attempts += 1;
        if let Some(case) = too_many {
            self.record_violation(now, Rule::Attempts, case);
        }
        if let Some(earlier) = ran_at {
            let case = format!(
                "{route}: request {id:016x} was sent again but may already have been executed at {}",
                self.upstreams[earlier]
            );
            self.record_violation(now, Rule::Repeated, case);
        }
        if let Some(case) = over_budget {
            self.record_violation(now, Rule::Budget, case);
        }
        if let Some(most) = trials {
            self.record_violation(
                now,
                Rule::Trials,
                format!("{route}: more than {most} attempts at a failing zone within a second"),
            );
        }
        if let Some(case) = after {
            self.suspects(now, Rule::AfterEnd, case);
        }
        Some(number)
    }

    /// Records the end of an attempt at its upstream. `hidden`: the link was partitioned meanwhile, so that the
    /// balancer may have ended the attempt earlier without the upstream seeing it.
    pub fn attempt_ended(&mut self, now: Millis, id: u64, number: usize, end: End, hidden: bool) {
        let Some(call) = self.client_calls.get_mut(&id) else {
            return;
        };
        let Some(attempt) = call.attempts.get_mut(number) else {
            return;
        };
        attempt.end = Some(end);
        if let End::Served(mark) = end {
            call.served.push(mark);
        }
        let concurrent = if hidden {
            None
        } else {
            concurrent_attempts::check(now, &self.names[call.balancer], id, call, number)
        };
        if let Some(case) = concurrent {
            self.suspects(now, Rule::ConcurrentAttempts, case);
        }
    }

    /// Records that an upstream has executed a keyed request. Returns whether it was discarded as a duplicate.
    pub fn effect(&mut self, now: Millis, key: u64, class: usize, upstream: usize) -> bool {
        self.effects
            .effect(now, key, self.classes[class], self.places[upstream])
    }

    /// Ignores all further violations.
    pub fn close(&mut self) {
        self.findings.close();
    }

    /// Ends the run: calls that are still open count as timed out.
    pub fn finish(&mut self, now: Millis) {
        let open: Vec<u64> = self
            .client_calls
            .iter()
            .filter(|(_, call)| call.ended_at.is_none())
            .map(|(&id, _)| id)
            .collect();
        for id in open {
            self.ended(now, id, Final::TimedOut);
        }
        if let Some(case) = self.closed_connections.too_many(self.checked) {
            self.record_violation(now, Rule::Lost, case);
        }
        self.judge(f64::INFINITY);
    }
}
