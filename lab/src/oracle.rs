//! Checks the rules from what the lab's stand-ins saw: never from what a balancer says of itself.
//!
//! Sans-I/O: every stand-in tells it what it saw and when. A rule that is broken is written down with its case, and
//! the run goes on.
use crate::experiment::{Effect, Group, Millis};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Every time limit of the protocol is longer by this on sockets.
const SLACK: Millis = 50.0;
/// An answer may come this long after its time; it earns nothing then, and one that comes later is lost.
pub const ANSWER_GRACE: Millis = 500.0;
/// Cases written down for each rule; more are counted.
const CASES_MOST: usize = 20;
/// The lab's own lateness explains what it saw this long before and after.
const LATE_AROUND: Millis = 1000.0;
/// Lateness of less than this explains nothing that the slack does not.
const LATE_LEAST: Millis = 5.0;
/// The part of requests whose new connection may be closed with no answer, where nothing was sent on for them.
const TURNED_MOST: f64 = 1.0 / 200.0;
/// How long a request is remembered after its end, to catch what is sent for it still.
const REMEMBERED: Millis = 10_000.0;

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each request taken gets exactly one final answer before its client gives up.
    Lost,
    /// What is served was made by an upstream for this request.
    Invented,
    /// A request that may have run is sent again only as its class allows.
    Repeated,
    /// A refusal promises that nothing ran.
    Refused,
    /// One attempt is out at a time.
    TwoOut,
    /// No more attempts than the settings allow.
    Attempts,
    /// Nothing is sent for a request after its end.
    AfterEnd,
    /// Nothing new goes to an upstream that drains, after the grace.
    Drained,
    /// No cold upstream is pushed over by all balancers together.
    Tipped,
    /// What reaches an upstream was sent by a client.
    Foreign,
    /// Memory stays within its limit.
    Memory,
    /// Descriptors stay within their limit.
    Descriptors,
    /// No balancer ends unless told to.
    Crashed,
    /// Every balancer gets ready in time.
    NotReady,
    /// Datagrams between balancers hold 256 bytes at most.
    Datagram,
    /// What a balancer counts of itself is what others saw of it.
    Figures,
    /// The number of a balancer's start grows with each, whatever becomes of its folder.
    Numbered,
}

impl Rule {
    /// All of them.
    pub const ALL: [Rule; 17] = [
        Rule::Lost,
        Rule::Invented,
        Rule::Repeated,
        Rule::Refused,
        Rule::TwoOut,
        Rule::Attempts,
        Rule::AfterEnd,
        Rule::Drained,
        Rule::Tipped,
        Rule::Foreign,
        Rule::Memory,
        Rule::Descriptors,
        Rule::Crashed,
        Rule::NotReady,
        Rule::Datagram,
        Rule::Figures,
        Rule::Numbered,
    ];

    /// What it asks, in a few words.
    pub fn asks(self) -> &'static str {
        match self {
            Rule::Lost => "one final answer for each request taken, in its time",
            Rule::Invented => "what is served was made by an upstream for this request",
            Rule::Repeated => "sent again only as its class allows",
            Rule::Refused => "a refusal promises that nothing ran",
            Rule::TwoOut => "one attempt out at a time",
            Rule::Attempts => "no more attempts than the settings allow",
            Rule::AfterEnd => "nothing sent for a request after its end",
            Rule::Drained => "nothing new to an upstream that drains, after the grace",
            Rule::Tipped => "no cold upstream pushed over by all together",
            Rule::Foreign => "what reaches an upstream was sent by a client",
            Rule::Memory => "memory within its limit",
            Rule::Descriptors => "descriptors within their limit",
            Rule::Crashed => "no balancer ends unless told to",
            Rule::NotReady => "every balancer ready in time",
            Rule::Datagram => "datagrams of 256 bytes at most",
            Rule::Figures => "what a balancer counts is what others saw",
            Rule::Numbered => "the number of a start grows with each",
        }
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// 200, with the mark of the answer that upstreams put into their bodies, if it had one.
    Served(Option<u64>),
    /// 429 or 503.
    Refused,
    /// Any other answer.
    Failed,
    /// Part of an answer came, and the client could tell that it was not whole.
    Partial,
    /// The connection ended with no answer.
    Ended,
    /// So did a new one, on its first request.
    Turned,
    /// Nothing came, and the client waits no longer.
    Silence,
    /// The client left by itself.
    Left,
}

/// How an attempt ended at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered 200, with this mark in the body.
    Served(u64),
    /// Answered with an error.
    Error,
    /// Turned away: it has not run.
    Declined,
    /// The balancer closed the connection, or it broke.
    Closed,
}

/// A case that rests on the lab's own timing: it stands only if the lab was not late itself by as much.
struct Suspect {
    rule: Rule,
    at: Millis,
    /// By how much a limit was passed.
    by: Millis,
    case: String,
}

/// A rule that was broken, and the case.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Broken {
    /// Which.
    pub rule: Rule,
    /// When it was seen.
    pub at: Millis,
    /// The case, in one line.
    pub case: String,
}

/// What a class allows.
#[derive(Clone, Copy, Debug)]
pub struct ClassRules {
    /// What a repeat may do.
    pub effect: Effect,
    /// Who drops repeats.
    pub group: Group,
    /// For how long.
    pub window: Millis,
}

/// Where an upstream stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its zone.
    pub zone: usize,
    /// Its cell.
    pub cell: u16,
}

struct Attempt {
    upstream: usize,
    began: Millis,
    end: Option<End>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        self.end != Some(End::Declined)
    }
}

struct Try {
    class: usize,
    balancer: usize,
    deadline: Millis,
    attempts: Vec<Attempt>,
    /// When it ended for its client.
    over: Option<Millis>,
    served: Vec<u64>,
}

/// What was seen of one balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Requests written to it whole.
    pub taken: u64,
    /// Of these, answered 200.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Answered as failed.
    pub failed: u64,
    /// Ended in a way that the balancer may see otherwise: the caller left, the connection broke, nothing came.
    pub unclear: u64,
    /// Attempts that reached an upstream.
    pub attempts: u64,
}

/// The checks and what they found.
pub struct Oracle {
    classes: Vec<ClassRules>,
    places: Vec<Place>,
    names: Vec<String>,
    upstreams: Vec<String>,
    attempts_most: usize,
    drain_grace: Millis,
    tries: HashMap<u64, Try>,
    old: VecDeque<(Millis, u64)>,
    /// When each balancer was told that an upstream wants nothing new.
    told_away: HashMap<(usize, usize), Millis>,
    /// The latest start of an upstream that each balancer was told of; without a word, the first.
    told_starts: HashMap<(usize, usize), usize>,
    /// When each balancer could not act, or could not be reached.
    excused: HashMap<usize, Vec<(Millis, Millis)>>,
    /// Which keys have run where, and when.
    ran: HashMap<u64, Vec<(u64, Millis)>>,
    effects_twice: u64,
    seen: Vec<Seen>,
    checked: u64,
    turned: u64,
    /// The run is over: what its processes' ends bring about is nobody's fault.
    closed: bool,
    suspects: Vec<Suspect>,
    /// When the lab was late, and by how much.
    late: VecDeque<(Millis, Millis)>,
    broken: Vec<Broken>,
    counts: BTreeMap<Rule, u64>,
}

/// What an oracle is built from.
pub struct Parts {
    /// Rules of each class.
    pub classes: Vec<ClassRules>,
    /// Place of each upstream.
    pub places: Vec<Place>,
    /// Names of the balancers.
    pub balancers: Vec<String>,
    /// Names of the upstreams.
    pub upstreams: Vec<String>,
    /// Most attempts for a request.
    pub attempts_most: usize,
    /// Time until sends to a draining upstream must end.
    pub drain_grace: Millis,
}

impl Oracle {
    /// Nothing seen yet.
    pub fn new(parts: Parts) -> Oracle {
        let seen = vec![Seen::default(); parts.balancers.len()];
        Oracle {
            classes: parts.classes,
            places: parts.places,
            names: parts.balancers,
            upstreams: parts.upstreams,
            attempts_most: parts.attempts_most,
            drain_grace: parts.drain_grace,
            tries: HashMap::new(),
            old: VecDeque::new(),
            told_away: HashMap::new(),
            told_starts: HashMap::new(),
            excused: HashMap::new(),
            ran: HashMap::new(),
            effects_twice: 0,
            seen,
            checked: 0,
            turned: 0,
            closed: false,
            suspects: Vec::new(),
            late: VecDeque::new(),
            broken: Vec::new(),
            counts: BTreeMap::new(),
        }
    }

    /// Writes a broken rule down.
    pub fn breaks(&mut self, at: Millis, rule: Rule, case: String) {
        if self.closed {
            return;
        }
        let count = self.counts.entry(rule).or_default();
        *count += 1;
        if *count as usize <= CASES_MOST {
            self.broken.push(Broken { rule, at, case });
        }
    }

    /// A limit of time was passed by this much, as far as the lab can tell.
    fn suspects(&mut self, at: Millis, rule: Rule, by: Millis, case: String) {
        self.suspects.push(Suspect { rule, at, by, case });
    }

    /// The lab did something this much later than it meant to.
    pub fn lab_late(&mut self, now: Millis, by: Millis) {
        if by >= LATE_LEAST {
            self.late.push_back((now, by));
        }
    }

    /// Decides on what was suspected long enough ago for the lab's lateness around it to be known.
    pub fn judge(&mut self, now: Millis) {
        let known = now - LATE_AROUND;
        let (due, open) = std::mem::take(&mut self.suspects).into_iter().partition(|s| s.at <= known);
        self.suspects = open;
        let due: Vec<Suspect> = due;
        for s in due {
            let explained = self.late.iter().any(|&(at, by)| (at - s.at).abs() <= LATE_AROUND && by >= s.by);
            if !explained {
                self.breaks(s.at, s.rule, s.case);
            }
        }
        while self.late.front().is_some_and(|&(at, _)| at < known - LATE_AROUND) {
            self.late.pop_front();
        }
    }

    /// What was broken: the first cases of each rule, and how many there were.
    pub fn found(&self) -> (&[Broken], &BTreeMap<Rule, u64>) {
        (&self.broken, &self.counts)
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
        self.effects_twice
    }

    /// A client has written a request whole to a balancer.
    pub fn taken(&mut self, now: Millis, id: u64, class: usize, balancer: usize, deadline: Millis) {
        let fresh = Try { class, balancer, deadline, attempts: Vec::new(), over: None, served: Vec::new() };
        // An attempt may have been seen a moment before the client's own note of its last byte.
        let known = self.tries.entry(id).or_insert_with(|| {
            self.seen[balancer].taken += 1;
            fresh
        });
        known.deadline = deadline;
        while self.old.front().is_some_and(|&(at, _)| at < now - REMEMBERED) {
            if let Some((_, id)) = self.old.pop_front() {
                self.tries.remove(&id);
            }
        }
    }

    /// A balancer can't act or can't be reached from now until `until`: what it holds then is no fault of its own.
    pub fn excuse(&mut self, balancer: usize, from: Millis, until: Millis) {
        self.excused.entry(balancer).or_default().push((from, until));
    }

    /// A balancer's discovery has written the state of an upstream to it, after so many starts of that.
    pub fn told(&mut self, now: Millis, balancer: usize, upstream: usize, start: usize, takes_work: bool) {
        let latest = self.told_starts.entry((balancer, upstream)).or_insert(1);
        // What is said of a machine says nothing of the one that has replaced it.
        if start < *latest {
            return;
        }
        *latest = start;
        if takes_work {
            self.told_away.remove(&(balancer, upstream));
        } else {
            self.told_away.entry((balancer, upstream)).or_insert(now);
        }
    }

    /// Whether a balancer was told of an upstream's latest start.
    pub fn knows_start(&self, balancer: usize, upstream: usize, start: usize) -> bool {
        self.told_starts.get(&(balancer, upstream)).copied().unwrap_or(1) >= start
    }

    fn is_excused(&self, balancer: usize, from: Millis, to: Millis) -> bool {
        let windows = self.excused.get(&balancer);
        windows.is_some_and(|w| w.iter().any(|&(a, b)| a <= to && b >= from))
    }

    /// Whether an attempt of a request has reached an upstream.
    pub fn sent_on(&self, id: u64) -> bool {
        self.tries.get(&id).is_some_and(|t| !t.attempts.is_empty())
    }

    /// How a request ended for its client.
    pub fn ended(&mut self, now: Millis, id: u64, how: Final) {
        let Some(t) = self.tries.get_mut(&id) else { return };
        if t.over.is_some() {
            return;
        }
        t.over = Some(now);
        self.checked += 1;
        self.old.push_back((now, id));
        let (balancer, deadline, class) = (t.balancer, t.deadline, self.classes[t.class]);
        let ran = t.attempts.iter().any(Attempt::may_have_run);
        let sent_on = !t.attempts.is_empty();
        let seen = &mut self.seen[balancer];
        match how {
            Final::Served(_) => seen.served += 1,
            Final::Refused => seen.refused += 1,
            Final::Failed => seen.failed += 1,
            Final::Partial | Final::Ended | Final::Turned | Final::Silence | Final::Left => seen.unclear += 1,
        }
        let known = match how {
            Final::Served(Some(mark)) => t.served.contains(&mark),
            Final::Served(None) => false,
            _ => true,
        };
        let excused = self.is_excused(balancer, now - ANSWER_GRACE - SLACK, now + SLACK);
        let name = &self.names[balancer];
        match how {
            Final::Served(_) if !known => {
                let case = format!("{name} served {id:016x} with what no upstream made for it");
                self.breaks(now, Rule::Invented, case);
            }
            Final::Turned if !sent_on && !excused => self.turned += 1,
            Final::Ended | Final::Turned | Final::Silence if !excused => {
                let what =
                    if how == Final::Silence { "said nothing in its time" } else { "ended its connection" };
                let case = format!("{name} took {id:016x} and {what}");
                self.breaks(now, Rule::Lost, case);
            }
            Final::Served(_) | Final::Refused | Final::Failed
                if now > deadline + ANSWER_GRACE + SLACK && !excused =>
            {
                let case = format!("{name} answered {id:016x} {:.0} ms after its time", now - deadline);
                self.suspects(now, Rule::Lost, now - deadline - ANSWER_GRACE - SLACK, case);
            }
            Final::Refused if ran && refusal_binds(class) => {
                let case = format!("{name} refused {id:016x} though an attempt may have run");
                self.breaks(now, Rule::Refused, case);
            }
            _ => {}
        }
    }

    /// An attempt has come whole to an upstream. The number names it from now on.
    pub fn attempt(&mut self, now: Millis, id: u64, balancer: usize, upstream: usize) -> Option<usize> {
        let name = format!("{} to {}", self.names[balancer], self.upstreams[upstream]);
        if let Some(&at) = self.told_away.get(&(balancer, upstream)) {
            if now > at + self.drain_grace + SLACK {
                let case = format!("{name}: {id:016x} came {:.0} ms after the word that it drains", now - at);
                self.suspects(now, Rule::Drained, now - at - self.drain_grace - SLACK, case);
            }
        }
        let (places, attempts_most) = (&self.places, self.attempts_most);
        let Some(t) = self.tries.get_mut(&id) else {
            self.breaks(now, Rule::Foreign, format!("{name}: {id:016x} was sent by no client"));
            return None;
        };
        let class = self.classes[t.class];
        let number = t.attempts.len();
        let mut found = Vec::new();
        let after = t.over.map(|at| now - at - SLACK).filter(|&by| by > 0.0);
        if number >= attempts_most {
            found.push((Rule::Attempts, format!("{name}: {id:016x} is sent for the {} time", number + 1)));
        }
        let first_run = t.attempts.iter().find(|a| a.may_have_run()).map(|a| a.began);
        for earlier in t.attempts.iter().filter(|a| a.may_have_run()) {
            let allowed = match class.effect {
                Effect::Safe => true,
                Effect::Once => false,
                Effect::Keyed => {
                    let same =
                        group(class.group, places[upstream]) == group(class.group, places[earlier.upstream]);
                    same && first_run.is_none_or(|at| now - at <= class.window + SLACK)
                }
            };
            if !allowed {
                let first = &self.upstreams[earlier.upstream];
                found.push((Rule::Repeated, format!("{name}: {id:016x} may have run at {first}")));
                break;
            }
        }
        self.seen[balancer].attempts += 1;
        t.attempts.push(Attempt { upstream, began: now, end: None });
        for (rule, case) in found {
            self.breaks(now, rule, case);
        }
        if let Some(by) = after {
            self.suspects(now, Rule::AfterEnd, by, format!("{name}: {id:016x} was sent after its end"));
        }
        Some(number)
    }

    /// An attempt is over at its upstream. `hidden`: the way to it was cut meanwhile, so that an earlier end could
    /// not be seen.
    pub fn attempt_ended(&mut self, now: Millis, id: u64, number: usize, end: End, hidden: bool) {
        let Some(t) = self.tries.get_mut(&id) else { return };
        let Some(attempt) = t.attempts.get_mut(number) else { return };
        attempt.end = Some(end);
        if let End::Served(mark) = end {
            t.served.push(mark);
        }
        let overlap = t.attempts.get(number + 1).map(|next| now - next.began);
        let name = &self.names[t.balancer];
        if let Some(overlap) = overlap.filter(|&o| o > SLACK && !hidden) {
            let case = format!("{name}: two attempts of {id:016x} were out for {overlap:.0} ms");
            self.suspects(now, Rule::TwoOut, overlap - SLACK, case);
        }
    }

    /// The work of a keyed request was done at an upstream; says whether its effect came about already, so that
    /// this was dropped as a repeat.
    pub fn effect(&mut self, now: Millis, key: u64, class: usize, upstream: usize) -> bool {
        let rules = self.classes[class];
        let at = group(rules.group, self.places[upstream]);
        let ran = self.ran.entry(key).or_default();
        if ran.iter().any(|&(group, first)| group == at && now - first <= rules.window) {
            return true;
        }
        ran.push((at, now));
        self.effects_twice += u64::from(ran.len() > 1);
        false
    }

    /// Nothing is judged any more.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Everything is over: what has no end by now never gets one.
    pub fn finish(&mut self, now: Millis) {
        let open: Vec<u64> = self.tries.iter().filter(|(_, t)| t.over.is_none()).map(|(&id, _)| id).collect();
        for id in open {
            self.ended(now, id, Final::Silence);
        }
        if self.turned as f64 > self.checked as f64 * TURNED_MOST {
            let case = format!(
                "{} of {} requests: a new connection was closed with no answer",
                self.turned, self.checked
            );
            self.breaks(now, Rule::Lost, case);
        }
        self.judge(f64::INFINITY);
    }
}

fn refusal_binds(class: ClassRules) -> bool {
    match class.effect {
        Effect::Safe => false,
        Effect::Keyed => class.group != Group::All,
        Effect::Once => true,
    }
}

/// The group of an upstream, as a number.
fn group(of: Group, place: Place) -> u64 {
    match of {
        Group::All => 0,
        Group::Zone => place.zone as u64,
        Group::Cell => u64::from(place.cell),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Class 0 is safe, 1 keyed by cell, 2 once. Upstreams 0 and 1 share a cell, 2 stands alone.
    fn oracle() -> Oracle {
        let class = |effect| ClassRules { effect, group: Group::Cell, window: 1000.0 };
        let place = |cell| Place { zone: 0, cell };
        Oracle::new(Parts {
            classes: vec![class(Effect::Safe), class(Effect::Keyed), class(Effect::Once)],
            places: vec![place(1), place(1), place(2)],
            balancers: vec!["b".into()],
            upstreams: vec!["u1".into(), "u2".into(), "u3".into()],
            attempts_most: 3,
            drain_grace: 500.0,
        })
    }

    fn rules(o: &mut Oracle) -> Vec<Rule> {
        o.judge(f64::INFINITY);
        o.found().0.iter().map(|b| b.rule).collect()
    }

    /// One attempt that ends so, then the next at another upstream.
    fn again(class: usize, first: End, to: usize, after: Millis) -> Vec<Rule> {
        let mut o = oracle();
        o.taken(0.0, 7, class, 0, 3000.0);
        let n = o.attempt(1.0, 7, 0, 0).expect("known");
        o.attempt_ended(2.0, 7, n, first, false);
        o.attempt(after, 7, 0, to);
        rules(&mut o)
    }

    #[test]
    fn repeats_follow_class_group_and_window() {
        assert_eq!(again(0, End::Error, 2, 10.0), []);
        assert_eq!(again(1, End::Error, 1, 10.0), []);
        assert_eq!(again(1, End::Error, 2, 10.0), [Rule::Repeated]);
        assert_eq!(again(1, End::Closed, 1, 1100.0), [Rule::Repeated]);
        assert_eq!(again(2, End::Declined, 2, 10.0), []);
        assert_eq!(again(2, End::Closed, 0, 10.0), [Rule::Repeated]);
    }

    #[test]
    fn two_attempts_may_overlap_no_longer_than_the_slack() {
        for (ends, hidden, wanted) in [(60.0, false, 0), (140.0, false, 1), (140.0, true, 0)] {
            let mut o = oracle();
            o.taken(0.0, 7, 0, 0, 3000.0);
            let first = o.attempt(1.0, 7, 0, 0).expect("known");
            o.attempt(50.0, 7, 0, 2);
            o.attempt_ended(ends, 7, first, End::Closed, hidden);
            assert_eq!(rules(&mut o), vec![Rule::TwoOut; wanted], "{ends}");
        }
    }

    #[test]
    fn every_request_taken_is_owed_one_answer_unless_its_balancer_could_not_act() {
        let mut o = oracle();
        for id in 1..=6 {
            o.taken(0.0, id, 2, 0, 1000.0);
        }
        o.ended(900.0, 1, Final::Failed);
        o.ended(1200.0, 2, Final::Refused);
        o.ended(300.0, 3, Final::Left);
        o.ended(400.0, 4, Final::Partial);
        assert_eq!(rules(&mut o), []);
        o.ended(500.0, 5, Final::Ended);
        o.finish(3000.0);
        assert_eq!(rules(&mut o), [Rule::Lost, Rule::Lost]);
        o.taken(0.0, 8, 2, 0, 1000.0);
        o.excuse(0, 100.0, 5000.0);
        o.ended(1600.0, 8, Final::Silence);
        assert_eq!(rules(&mut o).len(), 2);
        assert_eq!(o.checked(), 7);
    }

    #[test]
    fn answers_must_be_made_for_their_request_and_refusals_be_true() {
        let mut o = oracle();
        o.taken(0.0, 1, 2, 0, 1000.0);
        let n = o.attempt(1.0, 1, 0, 0).expect("known");
        o.attempt_ended(2.0, 1, n, End::Served(42), false);
        o.ended(3.0, 1, Final::Served(Some(42)));
        assert_eq!(rules(&mut o), []);
        o.taken(0.0, 2, 2, 0, 1000.0);
        o.ended(3.0, 2, Final::Served(Some(42)));
        o.taken(0.0, 3, 2, 0, 1000.0);
        o.attempt(1.0, 3, 0, 0);
        o.ended(5.0, 3, Final::Refused);
        o.attempt(90.0, 3, 0, 1);
        o.attempt(91.0, 99, 0, 1);
        assert_eq!(
            rules(&mut o),
            [Rule::Invented, Rule::Refused, Rule::Repeated, Rule::Foreign, Rule::AfterEnd]
        );
    }

    #[test]
    fn drains_and_the_number_of_attempts_are_kept() {
        let mut o = oracle();
        o.taken(0.0, 1, 0, 0, 9000.0);
        o.told(100.0, 0, 2, 1, false);
        for (at, upstream) in [(600.0, 2), (640.0, 2), (660.0, 2), (670.0, 0)] {
            if let Some(n) = o.attempt(at, 1, 0, upstream) {
                o.attempt_ended(at, 1, n, End::Error, false);
            }
        }
        assert_eq!(rules(&mut o), [Rule::Attempts, Rule::Drained]);
        o.told(700.0, 0, 2, 1, true);
        o.taken(0.0, 2, 0, 0, 9000.0);
        o.attempt(900.0, 2, 0, 2);
        assert_eq!(rules(&mut o).len(), 2);
    }

    #[test]
    fn what_the_lab_was_late_for_itself_is_nobodys_fault() {
        for (late, wanted) in [(30.0, 1), (100.0, 0)] {
            let mut o = oracle();
            o.taken(0.0, 7, 0, 0, 3000.0);
            let first = o.attempt(1.0, 7, 0, 0).expect("known");
            o.attempt(50.0, 7, 0, 2);
            o.attempt_ended(140.0, 7, first, End::Closed, false);
            o.lab_late(141.0, late);
            assert_eq!(rules(&mut o), vec![Rule::TwoOut; wanted]);
        }
    }

    #[test]
    fn a_key_takes_effect_once_in_its_group_and_window() {
        let mut o = oracle();
        assert_eq!((o.effect(0.0, 5, 1, 0), o.effect(100.0, 5, 1, 1)), (false, true));
        assert_eq!(o.effects_twice(), 0);
        assert!(!o.effect(200.0, 5, 1, 2));
        assert!(!o.effect(1500.0, 5, 1, 0));
        assert_eq!(o.effects_twice(), 2);
    }
}
