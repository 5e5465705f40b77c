//! Parsed and validated settings, as the balancer and its hosts use them.
use crate::error::DeploymentError;
use crate::key_names::with_key;
use crate::lengths::{check_lengths, check_objectives, Lengths};
use crate::setup::{ClassSetup, Setup};
use balancer_core::{Class, DedupScope, Effect, Settings, Tenant};

const MAX_DIAL_TIMEOUT_MS: f64 = 1e9;
/// Load report column that holds the requests in flight.
const IN_FLIGHT_COLUMN: &str = "inflight";
/// Load report column that holds the requests served per second.
const SERVED_COLUMN: &str = "qps";

/// The balancer's settings and those that only its hosts need. The balancer refers to classes, tenants, zones and
/// machine kinds by their position in these lists; a list that the settings omit is empty.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// The settings that the balancer is created with.
    pub policy: Settings,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    pub kinds: Vec<String>,
    /// Connect timeout in milliseconds; a connection that takes longer counts as refused.
    pub dial_timeout: f64,
    /// Maximum number of open requests per instance.
    pub max_open: u64,
    /// Whether balancers may exchange datagrams.
    pub peers: bool,
    /// Position of the column with the upstream's requests in flight in the simulator's load reports, if they have one.
    pub in_flight_column: Option<usize>,
    /// Position of the column with the requests per second that the upstream serves, if they have one.
    pub served_column: Option<usize>,
}

impl Deployment {
    /// Parses and validates settings from JSON.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid key.
    pub fn read(json: &[u8]) -> Result<Deployment, DeploymentError> {
        let setup = parse(json)?;
        let settings = settings(&setup)?;
        check_lengths(&Lengths {
            classes: setup.classes.len(),
            tenants: setup.tenants.len(),
            zones: setup.zones.len(),
            kinds: setup.kinds.len(),
        })?;
        settings
            .validate()
            .map_err(|error| with_key(&settings, error))?;
        check_objectives(&settings.classes)?;
        if !(0.0..=MAX_DIAL_TIMEOUT_MS).contains(&setup.permissions.dial_timeout) {
            return Err(DeploymentError::DialTimeout);
        }
        let columns = &setup.stats.columns;
        let column = |name| columns.iter().position(|column| column == name);
        Ok(Deployment {
            policy: settings,
            in_flight_column: column(IN_FLIGHT_COLUMN),
            served_column: column(SERVED_COLUMN),
            classes: setup.classes.into_iter().map(|class| class.name).collect(),
            tenants: setup
                .tenants
                .into_iter()
                .map(|tenant| tenant.name)
                .collect(),
            zones: setup.zones,
            kinds: setup.kinds,
            dial_timeout: setup.permissions.dial_timeout,
            max_open: setup.permissions.max_open,
            peers: setup.permissions.peers,
        })
    }
}

/// Parses the JSON without validating the values.
fn parse(json: &[u8]) -> Result<Setup, DeploymentError> {
    let mut json = serde_json::Deserializer::from_slice(json);
    // serde_json's message does not name the key of a value of the wrong type; the path does.
    let setup = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        let source = error.into_inner();
        if path == "." || path == "?" {
            DeploymentError::Json(source)
        } else {
            DeploymentError::Value { path, source }
        }
    })?;
    json.end().map_err(DeploymentError::Json)?;
    Ok(setup)
}

fn settings(setup: &Setup) -> Result<Settings, DeploymentError> {
    let subscribes = match setup.membership_mode.as_str() {
        "pushed" => false,
        "on_request" => true,
        other => return Err(unknown("membership_mode", "mode", other)),
    };
    let classes = setup.classes.iter().enumerate();
    let tenants = setup.tenants.iter();
    Ok(Settings {
        index: setup.index,
        balancers: setup.balancers,
        stage: setup.stage,
        zone: setup.zone,
        classes: classes
            .map(|(position, setup)| class(position, setup))
            .collect::<Result<_, _>>()?,
        tenants: tenants
            .map(|tenant| Tenant {
                share: tenant.share,
                quota_per_s: tenant.quota_per_s,
            })
            .collect(),
        max_attempts: setup.permissions.max_attempts,
        cancel: setup.permissions.cancel,
        subscribes,
        subscribe_timeout: setup.invariants.subscribe_timeout,
        idle_close: setup.permissions.idle_close,
        max_retry_after: setup.permissions.max_retry_after,
        slow_start_from: setup.invariants.slow_start_from,
        slow_start_time: setup.invariants.slow_start_time,
        overload_multiple: setup.invariants.overload_multiple,
        overload_window: setup.invariants.overload_window,
        late_shedding: setup.invariants.late_shedding,
        cross_zone_price: setup.charges.cross_zone_price,
    })
}

fn class(position: usize, setup: &ClassSetup) -> Result<Class, DeploymentError> {
    Ok(Class {
        objective: setup.objective,
        deadline: setup.deadline,
        effect: effect(position, setup)?,
        late_value: setup.late_value,
        value: setup.value,
        zones: setup.zones.clone(),
        kinds: setup.kinds.clone(),
    })
}

fn effect(position: usize, setup: &ClassSetup) -> Result<Effect, DeploymentError> {
    match setup.effect.as_str() {
        "free" => Ok(Effect::Free),
        "single_shot" => Ok(Effect::SingleShot),
        "guarded" => Ok(Effect::Guarded {
            scope: dedup_scope(position, &setup.dedup_scope)?,
            window: setup.repeat_window,
        }),
        other => {
            let key = format!("classes[{position}].effect");
            Err(unknown(&key, "effect", other))
        }
    }
}

fn dedup_scope(position: usize, value: &str) -> Result<DedupScope, DeploymentError> {
    match value {
        "all" => Ok(DedupScope::All),
        "zone" => Ok(DedupScope::Zone),
        "cell" => Ok(DedupScope::Cell),
        other => {
            let key = format!("classes[{position}].dedup_scope");
            Err(unknown(&key, "scope", other))
        }
    }
}

fn unknown(key: &str, what: &'static str, value: &str) -> DeploymentError {
    DeploymentError::UnknownValue {
        key: key.to_string(),
        what,
        value: value.to_string(),
    }
}
