//! What the copies of a tier know together, as the module hears it: evidence with an age, never a command. The module
//! works the same, only better informed, without any of it.
use super::{Millis, UpstreamId};

/// One tenant's part in what adds up over the tier.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantLoad {
    /// Requests a second that were asked for.
    pub demand: f64,
    /// Calls to upstreams in flight, as a mean over a second: slow calls count for as long as they last.
    pub calls: f64,
    /// Callers' connections held.
    pub callers: f64,
}

/// What adds up over the tier. Rates are per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TierLoad {
    /// Requests that were asked for.
    pub demand: f64,
    /// Requests that the next tier has room for. Zero: of demand, room and attempts nothing is told.
    pub room: f64,
    /// First attempts.
    pub firsts: f64,
    /// Further attempts.
    pub retries: f64,
    /// By position in [`Settings::tenants`](crate::Settings::tenants), with one further place for all that are not
    /// listed.
    pub tenants: Vec<TenantLoad>,
}

impl TierLoad {
    /// How many times what there is room for was asked for.
    pub fn pressure(&self) -> f64 {
        self.demand / self.room.max(1.0)
    }
}

/// Sums over all live copies, this one included.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TierSums {
    /// The sums.
    pub load: TierLoad,
    /// The oldest figure in them is at most this old.
    pub age: Millis,
    /// Their relative standard error.
    pub error: f64,
}

/// What evidence is against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// An upstream.
    Upstream(UpstreamId),
    /// A zone, by position.
    Zone(u16),
}

/// Evidence of other copies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// Against what.
    pub subject: Subject,
    /// Distinct copies that say so, and the distinct zones they are in.
    pub observers: u32,
    /// See there.
    pub zones: u32,
    /// Distinct copies that say that it has answered them again.
    pub cleared: u32,
    /// The youngest of it is at most this old.
    pub age: Millis,
}

/// What this copy has heard of its tier.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TierUpdate {
    /// Copies that are up, this one included. One: of others nothing is told.
    pub up: u32,
    /// This one's place among them, from zero.
    pub place: u32,
    /// Whether it hears most of them: one that is cut off must not take its part for the whole.
    pub joined: bool,
    /// Sums over them; absent where nothing fresh enough was heard, or not all copies speak of sums yet.
    pub sums: Option<TierSums>,
    /// Evidence of others.
    pub evidence: Vec<Evidence>,
}

impl TierUpdate {
    /// Whether every figure in it is one that can be: what is not is not acted on.
    pub fn is_sound(&self) -> bool {
        let span = |v: f64| (0.0..=1e15).contains(&v);
        let sums = self.sums.iter().all(|s| {
            let l = &s.load;
            let totals = [l.demand, l.room, l.firsts, l.retries, s.age, s.error];
            totals.into_iter().all(span)
                && l.tenants
                    .iter()
                    .all(|t| [t.demand, t.calls, t.callers].into_iter().all(span))
        });
        // As many members as a list can have.
        let placed = self.place < self.up && self.up <= u32::from(u16::MAX);
        placed && sums && self.evidence.iter().all(|e| span(e.age))
    }
}

/// What this copy observes, for the others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observed {
    /// Its part in what adds up. `callers` is left at zero: the host knows it.
    pub load: TierLoad,
    /// What it has evidence against, the worst first.
    pub against: Vec<Subject>,
    /// What it had evidence against and has had an answer from since.
    pub cleared: Vec<Subject>,
}
