//! All that one instance knows.
use super::{Admission, Capacity, Fleet, Meter, Pending, Rng, Shed, Tier};
use crate::interface::{Action, Learned, Millis, RequestId, Settings};
use rand_core::SeedableRng;
use std::collections::BTreeMap;

/// What a call of the decision logic adds to.
pub(crate) type Actions = Vec<Action>;

/// One instance of the decision logic.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Rng,
    pub(crate) admission: Admission,
    pub(crate) capacity: Capacity,
    pub(crate) fleet: Fleet,
    /// Requests without a final answer.
    pub(crate) pending: BTreeMap<RequestId, Pending>,
    /// Further attempts that may be made now.
    pub(crate) retries: f64,
    /// What it asked for, sent and held of late, for the others of its tier.
    pub(crate) meter: Meter,
    /// What it heard of them, and up to which level they all refuse.
    pub(crate) tier: Tier,
    pub(crate) shed: Shed,
    /// Whether the first event came; calls for the list that failed in a row; whether answers are late.
    pub(crate) started: bool,
    pub(crate) ask_failures: u32,
    pub(crate) late: bool,
    /// What an earlier instance learned and when, until there is a list to hold it against.
    pub(crate) kept: Option<(Box<Learned>, Millis)>,
}

impl Balancer {
    /// One that has been told nothing yet.
    pub(crate) fn of(
        s: Settings,
        seed: u64,
        parts: (Admission, Capacity, Fleet),
        retries: f64,
    ) -> Self {
        let (admission, capacity, fleet) = parts;
        Balancer {
            rng: Rng::seed_from_u64(seed),
            meter: Meter::new(admission.tenants.len()),
            tier: Tier::default(),
            shed: Shed::new(&s, admission.tenants.len()),
            settings: s,
            admission,
            capacity,
            fleet,
            pending: BTreeMap::new(),
            retries,
            started: false,
            ask_failures: 0,
            late: false,
            kept: None,
        }
    }

    /// Tells the operator when answers begin to be late, and when no longer.
    pub(crate) fn told_late(&mut self, late: bool) -> Option<Action> {
        let turned = std::mem::replace(&mut self.late, late) != late;
        let state = if late {
            "late or failed: capacity is cut"
        } else {
            "in time again"
        };
        turned.then(|| Action::Log(format!("answers of tier {} {state}", self.settings.stage)))
    }
}
