//! Load counters that an instance shares with its tier: means over about the last second.
use crate::interface::{Millis, TenantLoad, TierLoad};

/// Time constant of the exponential decay.
const DECAY_TIME: Millis = 1000.0;

/// Remaining weight of an exponential mean at `now`.
fn decay(since: Millis, now: Millis) -> f64 {
    (-(now - since).max(0.0) / DECAY_TIME).exp()
}

/// Rate of events per second.
#[derive(Clone, Copy, Default)]
struct Rate {
    per_s: f64,
    at: Millis,
}

impl Rate {
    fn read(&self, now: Millis) -> f64 {
        self.per_s * decay(self.at, now)
    }

    fn record(&mut self, now: Millis) {
        *self = Rate {
            per_s: self.read(now) + 1000.0 / DECAY_TIME,
            at: now,
        };
    }
}

/// A value that changes in steps, and its exponential mean.
#[derive(Clone, Copy, Default)]
struct Gauge {
    value: f64,
    mean: f64,
    at: Millis,
}

impl Gauge {
    fn read(&self, now: Millis) -> f64 {
        self.value + (self.mean - self.value) * decay(self.at, now)
    }

    fn add(&mut self, change: f64, now: Millis) {
        *self = Gauge {
            mean: self.read(now),
            value: self.value + change,
            at: now,
        };
    }
}

/// Request rate and calls in flight of one tenant.
#[derive(Clone, Copy, Default)]
struct TenantMeter {
    requests: Rate,
    in_flight: Gauge,
}

/// Whether an attempt is the first one of its request or a retry.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptKind {
    First,
    Retry,
}

/// Measures requests, attempts and calls in flight.
pub(crate) struct Meter {
    tenants: Vec<TenantMeter>,
    first_attempts: Rate,
    retries: Rate,
}

impl Meter {
    /// Creates a meter for the given number of tenants, at least one.
    pub(crate) fn new(tenants: usize) -> Self {
        Meter {
            tenants: vec![TenantMeter::default(); tenants],
            first_attempts: Rate::default(),
            retries: Rate::default(),
        }
    }

    /// The meter of a tenant; unlisted tenants share the last one.
    fn tenant(&mut self, tenant: usize) -> &mut TenantMeter {
        let last = self.tenants.len() - 1;
        &mut self.tenants[tenant.min(last)]
    }

    /// Counts a tenant's request.
    pub(crate) fn on_request(&mut self, tenant: usize, now: Millis) {
        self.tenant(tenant).requests.record(now);
    }

    /// Counts an attempt that starts.
    pub(crate) fn on_attempt_start(&mut self, tenant: usize, kind: AttemptKind, now: Millis) {
        match kind {
            AttemptKind::First => self.first_attempts.record(now),
            AttemptKind::Retry => self.retries.record(now),
        }
        self.tenant(tenant).in_flight.add(1.0, now);
    }

    /// Counts an attempt that has ended.
    pub(crate) fn on_attempt_end(&mut self, tenant: usize, now: Millis) {
        self.tenant(tenant).in_flight.add(-1.0, now);
    }

    /// The measured load, together with the given capacity.
    pub(crate) fn load(&self, capacity_per_s: f64, now: Millis) -> TierLoad {
        let load_of = |tenant: &TenantMeter| TenantLoad {
            demand: tenant.requests.read(now),
            calls_in_flight: tenant.in_flight.read(now),
            client_connections: 0.0,
        };
        let tenants: Vec<TenantLoad> = self.tenants.iter().map(load_of).collect();
        TierLoad {
            demand: tenants.iter().map(|tenant| tenant.demand).sum(),
            capacity: capacity_per_s,
            first_attempts: self.first_attempts.read(now),
            retries: self.retries.read(now),
            tenants,
        }
    }
}
