//! One emulated machine: slots, a waiting room, cores, warmth, and what crowding does to it.
//!
//! Sans-I/O: it is told what comes and what time it is, and says when it wants to be asked again. Work is laid out
//! on the cores by its own clock, so that a host that asks a little late changes no figure.
use crate::draw::Upstream;
use crate::experiment::Millis;
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Names one request, or one piece of work, at one machine.
pub type Token = u64;

/// What a request meets at the door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Door {
    /// A slot: its work may begin.
    Slot,
    /// The waiting room: the one whose [`Machine::leave`] makes room says when it has a slot.
    Waits,
    /// Turned away.
    Full,
}

/// How far a cold start has come, and what is sent meanwhile.
struct Cold {
    since: Millis,
    /// Work done since the start, in milliseconds of a core.
    done: f64,
    /// Work sent lately: when, how much, and whether by a balancer that had been told of the start.
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
    /// The part of it that came from balancers that had been told of its start.
    pub told: f64,
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
    crowded: Option<Millis>,
    choked: Option<Millis>,
    rested: Option<Millis>,
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
            crowded: None,
            choked: None,
            rested: None,
        }
    }

    /// Starts anew, cold, with nothing in it.
    pub fn restart(&mut self, now: Millis) {
        let slower = self.slower;
        *self = Machine::new(self.plan.clone(), self.tipping, self.mean_work);
        self.slower = slower;
        self.cold = Some(Cold { since: now, done: 0.0, sent: VecDeque::new() });
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
        let way = ((now - cold.since) / self.plan.cold_for.max(1.0)).max(cold.done / all.max(1.0));
        (self.plan.cold_from + (1.0 - self.plan.cold_from) * way).min(1.0)
    }

    /// What each core does in a millisecond.
    fn rate(&self, now: Millis) -> f64 {
        let choke = match (self.choked, self.plan.choke) {
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

    /// Whether it is slow because it was crowded.
    pub fn is_choked(&self) -> bool {
        self.choked.is_some()
    }

    /// How it fell over, if it did since its last start.
    pub fn tipped(&self) -> Option<Tipped> {
        self.tipped
    }

    /// A request comes: `work` is what it asks for in all, `told` whether its sender knew of the last start.
    pub fn enter(&mut self, now: Millis, token: Token, work: f64, told: bool) -> Door {
        self.note_sent(now, work, told);
        let door = if self.tipped.is_some() {
            Door::Full
        } else if self.inside.len() < self.plan.slots {
            self.inside.insert(token);
            Door::Slot
        } else if self.waiting.len() < self.plan.queue {
            self.waiting.push_back(token);
            Door::Waits
        } else {
            Door::Full
        };
        self.look_at_crowd(now);
        door
    }

    fn note_sent(&mut self, now: Millis, work: f64, told: bool) {
        let warm = self.warmth(now) >= 1.0;
        let Some(cold) = &mut self.cold else { return };
        if warm {
            self.cold = None;
            return;
        }
        cold.sent.push_back((now, work, told));
        while cold.sent.front().is_some_and(|&(at, ..)| at < now - self.tipping.fall) {
            cold.sent.pop_front();
        }
        let sent: f64 = cold.sent.iter().map(|(_, work, _)| work).sum();
        let by_told: f64 = cold.sent.iter().filter(|(.., told)| *told).map(|(_, work, _)| work).sum();
        let can = self.plan.cores as f64 * self.plan.speed * self.warmth(now);
        // A few requests more than the budget are chance.
        let bears = self.tipping.multiple * can * self.tipping.fall + 4.0 * self.mean_work;
        if sent > bears && self.tipped.is_none() {
            self.tipped = Some(Tipped { sent, bears, told: by_told / sent });
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
        self.look_at_crowd(now);
        next
    }

    fn fill_cores(&mut self, now: Millis) {
        while self.running.len() < self.plan.cores {
            let Some((token, work)) = self.ready.pop_front() else { return };
            let end = now + work / self.rate(now);
            self.running.insert((key(end), token), work);
        }
    }

    /// When it wants to be asked again.
    pub fn next(&self) -> Option<Millis> {
        let work = self.running.keys().next().map(|&(at, _)| at as f64 / 1000.0);
        let crowd = self.plan.choke.and_then(|c| {
            let slow = self.crowded.filter(|_| self.choked.is_none()).map(|at| at + c.over);
            let rested = self.rested.filter(|_| self.choked.is_some()).map(|at| at + c.rest);
            let most = self.choked.map(|at| at + c.most);
            [slow, rested, most].into_iter().flatten().min_by(f64::total_cmp)
        });
        [work, crowd].into_iter().flatten().min_by(f64::total_cmp)
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
        self.look_at_crowd(now);
    }

    fn look_at_crowd(&mut self, now: Millis) {
        let Some(choke) = self.plan.choke else { return };
        let held = self.holds() as f64 / self.plan.cores as f64;
        self.crowded = if held >= choke.at { self.crowded.or(Some(now)) } else { None };
        self.rested = if held < choke.below { self.rested.or(Some(now)) } else { None };
        match self.choked {
            None if self.crowded.is_some_and(|at| now - at >= choke.over) => {
                self.choked = Some(now);
                self.rested = None;
            }
            Some(since) => {
                let rested = self.rested.is_some_and(|at| now - at >= choke.rest);
                if rested || now - since >= choke.most {
                    self.choked = None;
                    self.crowded = None;
                }
            }
            None => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::draw::Choke;

    fn plan() -> Upstream {
        Upstream {
            name: "u".into(),
            tier: 0,
            zone: 0,
            kind: 0,
            cell: 1,
            cores: 2,
            speed: 1.0,
            slots: 4,
            queue: 1,
            cold_from: 0.25,
            cold_for: 10_000.0,
            errors: 0.0,
            cancel_stops: false,
            connections: 10,
            round_trips: 1.0,
            connection_work: 1.0,
            full_tax: 0.0,
            report_period: 100.0,
            report_delay: 10.0,
            choke: Some(Choke {
                at: 2.0,
                over: 1000.0,
                slower: 2.0,
                rest: 2000.0,
                below: 0.5,
                most: 20_000.0,
            }),
        }
    }

    fn machine() -> Machine {
        Machine::new(plan(), Tipping { multiple: 2.5, fall: 3000.0 }, 10.0)
    }

    fn done(m: &mut Machine, now: Millis) -> Vec<Token> {
        let mut done = Vec::new();
        m.advance(now, &mut done);
        done
    }

    #[test]
    fn slots_then_the_waiting_room_then_the_door() {
        let mut m = machine();
        let doors: Vec<Door> = (0..6).map(|t| m.enter(0.0, t, 10.0, true)).collect();
        assert_eq!(doors[..4], [Door::Slot; 4]);
        assert_eq!(doors[4..], [Door::Waits, Door::Full]);
        assert_eq!(m.leave(1.0, 0), Some(4), "who waited gets the slot");
        assert_eq!(m.holds(), 4);
    }

    #[test]
    fn work_is_laid_out_by_its_own_clock_however_late_anyone_looks() {
        let mut m = machine();
        for t in 0..4 {
            m.enter(0.0, t, 10.0, true);
            m.work(0.0, t, 10.0);
        }
        assert_eq!(m.next(), Some(10.0));
        // Looked at only at 25 ms: the second pair ran from 10 to 20 all the same.
        assert_eq!(done(&mut m, 25.0).len(), 4);
        m.work(25.0, 9, 10.0);
        assert_eq!((done(&mut m, 34.0), done(&mut m, 35.0)), (vec![], vec![9]));
    }

    #[test]
    fn a_crowd_makes_it_slow_until_it_has_rested() {
        let mut m = machine();
        (0..4).for_each(|t| assert_eq!(m.enter(0.0, t, 10.0, true), Door::Slot));
        done(&mut m, 999.0);
        assert!(!m.is_choked());
        done(&mut m, 1000.0);
        assert!(m.is_choked());
        m.work(1000.0, 0, 10.0);
        assert_eq!((done(&mut m, 1019.0), done(&mut m, 1020.0)), (vec![], vec![0]));
        (0..4).for_each(|t| assert_eq!(m.leave(2000.0, t), None));
        done(&mut m, 3999.0);
        assert!(m.is_choked());
        done(&mut m, 4000.0);
        assert!(!m.is_choked());
    }

    #[test]
    fn a_cold_machine_warms_and_falls_over_when_overfed_by_all_together() {
        let mut m = machine();
        m.restart(0.0);
        assert_eq!((m.warmth(0.0), m.warmth(5000.0), m.warmth(10_000.0)), (0.25, 0.625, 1.0));
        // 2.5 times what half a core can do for 3 s is 3,750 ms, with a little for chance.
        for n in 0..37 {
            m.enter(n as f64, n, 100.0, n % 4 != 0);
            m.leave(n as f64, n);
        }
        assert_eq!(m.tipped(), None);
        for n in 37..50 {
            m.enter(40.0, n, 100.0, true);
        }
        let tipped = m.tipped().expect("it fell over");
        assert!(tipped.sent > tipped.bears && tipped.told > 0.7, "{tipped:?}");
        assert_eq!(m.enter(50.0, 99, 1.0, true), Door::Full);
        m.restart(60.0);
        assert_eq!((m.tipped(), m.enter(61.0, 1, 1.0, true)), (None, Door::Slot));
    }

    #[test]
    fn a_fault_and_a_full_table_slow_it_down() {
        let mut m = machine();
        m.slow_down(3.0);
        m.work(0.0, 1, 10.0);
        assert_eq!((done(&mut m, 29.0), done(&mut m, 30.0)), (vec![], vec![1]));
    }
}
