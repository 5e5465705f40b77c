//! Complete state of one instance.
use super::{Admission, Capacity, Fleet, LoadShedding, Meter, Pending, Rng, Tier};
use crate::interface::{Action, Learned, Millis, RequestId, Settings};
use rand_core::SeedableRng;
use std::collections::BTreeMap;

/// Output buffer for actions.
pub(crate) type Actions = Vec<Action>;

/// State of an earlier instance, kept until there is an endpoint list to apply it to.
pub(crate) struct SavedState {
    pub learned: Box<Learned>,
    /// When it was saved, on this instance's clock.
    pub saved_at: Millis,
}

/// One instance of the load balancer's decision logic.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Rng,
    pub(crate) admission: Admission,
    pub(crate) capacity: Capacity,
    pub(crate) fleet: Fleet,
    /// Requests without a final response.
    pub(crate) pending: BTreeMap<RequestId, Pending>,
    /// Retries that are currently allowed.
    pub(crate) retry_budget: f64,
    /// Recent request and attempt rates, for the other instances of the tier.
    pub(crate) meter: Meter,
    /// Observations of the other instances.
    pub(crate) tier: Tier,
    pub(crate) load_shedding: LoadShedding,
    /// Whether the first event was handled.
    pub(crate) started: bool,
    /// Consecutive failures to fetch the endpoint list.
    pub(crate) subscribe_failures: u32,
    /// Whether the last logged state was that responses are late.
    pub(crate) reported_late: bool,
    pub(crate) saved_state: Option<SavedState>,
}

impl Balancer {
    /// An instance that has not handled any event.
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

    /// Logs when responses start or stop being late.
    pub(crate) fn report_lateness(&mut self, late: bool) -> Option<Action> {
        let changed = std::mem::replace(&mut self.reported_late, late) != late;
        let state = if late {
            "late or failing: reducing capacity"
        } else {
            "on time again"
        };
        changed.then(|| {
            Action::Log(format!(
                "responses of tier {} are {state}",
                self.settings.stage
            ))
        })
    }
}
