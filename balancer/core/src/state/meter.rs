//! What a copy counts for the others of its tier: means over about the last second.
use crate::interface::{Millis, TenantLoad, TierLoad};

/// What is counted fades over this time: to 0.37 of itself.
const SPAN: Millis = 1000.0;

/// Events a second.
#[derive(Clone, Copy, Default)]
struct Rate {
    per_s: f64,
    at: Millis,
}

impl Rate {
    fn read(&self, now: Millis) -> f64 {
        self.per_s * kept(self.at, now)
    }

    fn note(&mut self, now: Millis) {
        *self = Rate {
            per_s: self.read(now) + 1000.0 / SPAN,
            at: now,
        };
    }
}

/// A number that changes in steps, and its mean.
#[derive(Clone, Copy, Default)]
struct Level {
    value: f64,
    mean: f64,
    at: Millis,
}

impl Level {
    fn read(&self, now: Millis) -> f64 {
        self.value + (self.mean - self.value) * kept(self.at, now)
    }

    fn change(&mut self, by: f64, now: Millis) {
        *self = Level {
            mean: self.read(now),
            value: self.value + by,
            at: now,
        };
    }
}

fn kept(at: Millis, now: Millis) -> f64 {
    (-(now - at).max(0.0) / SPAN).exp()
}

/// Requests, attempts and calls in flight.
pub(crate) struct Meter {
    tenants: Vec<(Rate, Level)>,
    firsts: Rate,
    retries: Rate,
}

impl Meter {
    /// Nothing was counted yet, of so many tenants: at least one.
    pub(crate) fn new(tenants: usize) -> Self {
        Meter {
            tenants: vec![Default::default(); tenants],
            firsts: Rate::default(),
            retries: Rate::default(),
        }
    }

    /// A tenant's rate and calls. The last place is for all that have none of their own.
    fn of(&mut self, tenant: usize) -> &mut (Rate, Level) {
        let last = self.tenants.len() - 1;
        &mut self.tenants[tenant.min(last)]
    }

    /// A tenant asked for a request.
    pub(crate) fn asked(&mut self, tenant: usize, now: Millis) {
        self.of(tenant).0.note(now);
    }

    /// An attempt of its has begun.
    pub(crate) fn sent(&mut self, tenant: usize, first: bool, now: Millis) {
        if first {
            &mut self.firsts
        } else {
            &mut self.retries
        }
        .note(now);
        self.of(tenant).1.change(1.0, now);
    }

    /// One has ended.
    pub(crate) fn ended(&mut self, tenant: usize, now: Millis) {
        self.of(tenant).1.change(-1.0, now);
    }

    /// All of it, and what there is room for.
    pub(crate) fn load(&self, room: f64, now: Millis) -> TierLoad {
        let tenant = |(asked, calls): &(Rate, Level)| TenantLoad {
            demand: asked.read(now),
            calls: calls.read(now),
            callers: 0.0,
        };
        let tenants: Vec<TenantLoad> = self.tenants.iter().map(tenant).collect();
        TierLoad {
            demand: tenants.iter().map(|t| t.demand).sum(),
            room,
            firsts: self.firsts.read(now),
            retries: self.retries.read(now),
            tenants,
        }
    }
}
