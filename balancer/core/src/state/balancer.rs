//! All that one instance knows.
use super::{Admission, Capacity, Fleet, LoadShedding, Meter, Pending, Rng, Tier};
use crate::interface::{Action, Learned, Millis, RequestId, Settings};
use rand_core::SeedableRng;
use std::collections::BTreeMap;

/// What a call of the decision logic appends to.
pub(crate) type Actions = Vec<Action>;

/// What an earlier instance learned, until there is an endpoint list to apply it to.
pub(crate) struct SavedState {
    pub learned: Box<Learned>,
    /// When it was handed out, on this instance's clock.
    pub saved_at: Millis,
}

/// One instance of the decision logic.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Rng,
    pub(crate) admission: Admission,
    pub(crate) capacity: Capacity,
    pub(crate) fleet: Fleet,
    /// Requests without a final response.
    pub(crate) pending: BTreeMap<RequestId, Pending>,
    /// Retries that may be made now.
    pub(crate) retry_budget: f64,
    /// What was requested and sent of late, for the other instances of the tier.
    pub(crate) meter: Meter,
    /// What the other instances observe.
    pub(crate) tier: Tier,
    pub(crate) load_shedding: LoadShedding,
    /// Whether the first event came.
    pub(crate) started: bool,
    /// Calls for the endpoint list that failed in a row.
    pub(crate) subscribe_failures: u32,
    /// Whether the operator was last told that responses are late.
    pub(crate) reported_late: bool,
    pub(crate) saved_state: Option<SavedState>,
}

impl Balancer {
    /// An instance that has handled no event yet.
    pub(crate) fn with_parts(
        settings: Settings,
        seed: u64,
        admission: Admission,
        capacity: Capacity,
        fleet: Fleet,
        retry_budget: f64,
    ) -> Self {
        Balancer {
            rng: Rng::seed_from_u64(seed),
            meter: Meter::new(admission.tenants.len()),
            tier: Tier::default(),
            load_shedding: LoadShedding::new(&settings, admission.tenants.len()),
            settings,
            admission,
            capacity,
            fleet,
            pending: BTreeMap::new(),
            retry_budget,
            started: false,
            subscribe_failures: 0,
            reported_late: false,
            saved_state: None,
        }
    }

    /// Reports to the operator when responses begin to be late, and when no longer.
    pub(crate) fn report_lateness(&mut self, late: bool) -> Option<Action> {
        let changed = std::mem::replace(&mut self.reported_late, late) != late;
        let state = if late {
            "late or failed: capacity is cut"
        } else {
            "in time again"
        };
        changed.then(|| Action::Log(format!("answers of tier {} {state}", self.settings.stage)))
    }
}
