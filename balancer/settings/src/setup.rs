//! The JSON form of the settings, before validation.
use balancer_core::Settings;
use serde::Deserialize;

const DEFAULT_DIAL_TIMEOUT_MS: f64 = 250.0;
/// Default for the maximum number of open requests per instance.
const DEFAULT_MAX_OPEN: u64 = 20_000;

/// The top-level object.
#[derive(Deserialize)]
pub(crate) struct Setup {
    pub balancers: u32,
    pub index: u32,
    pub classes: Vec<ClassSetup>,
    pub permissions: Permissions,
    pub invariants: Invariants,
    pub membership_mode: String,
    #[serde(default)]
    pub tenants: Vec<TenantSetup>,
    #[serde(default)]
    pub stage: u32,
    #[serde(default)]
    pub zone: u16,
    #[serde(default)]
    pub charges: Charges,
    #[serde(default, rename = "dcs")]
    pub zones: Vec<String>,
    #[serde(default)]
    pub kinds: Vec<String>,
    #[serde(default)]
    pub stats: Stats,
}

/// Contents of load reports (`stats`).
#[derive(Deserialize, Default)]
pub(crate) struct Stats {
    #[serde(default)]
    pub columns: Vec<String>,
}

/// An entry of `classes`.
#[derive(Deserialize)]
pub(crate) struct ClassSetup {
    #[serde(default)]
    pub name: String,
    pub objective: f64,
    pub deadline: f64,
    pub effect: String,
    #[serde(default = "default_dedup_scope")]
    pub dedup_scope: String,
    #[serde(default)]
    pub repeat_window: f64,
    #[serde(default, rename = "late_worth")]
    pub late_value: f64,
    #[serde(default = "default_value", rename = "importance")]
    pub value: f64,
    #[serde(rename = "runs_in")]
    pub zones: Option<Vec<u16>>,
    #[serde(rename = "kinds_only")]
    pub kinds: Option<Vec<u8>>,
}

/// An entry of `tenants`.
#[derive(Deserialize)]
pub(crate) struct TenantSetup {
    #[serde(default)]
    pub name: String,
    pub share: f64,
    #[serde(default)]
    pub quota_per_s: f64,
}

/// What the balancer may do, and its limits (`permissions`).
#[derive(Deserialize)]
pub(crate) struct Permissions {
    #[serde(rename = "attempts_cap")]
    pub max_attempts: u32,
    #[serde(default)]
    pub cancel: bool,
    #[serde(default)]
    pub max_retry_after: f64,
    #[serde(default = "default_idle_close")]
    pub idle_close: f64,
    #[serde(default = "default_dial_timeout")]
    pub dial_timeout: f64,
    #[serde(default = "default_max_open")]
    pub max_open: u64,
    #[serde(default)]
    pub peers: bool,
}

/// Guaranteed properties of the upstreams and of endpoint discovery (`invariants`).
#[derive(Deserialize)]
pub(crate) struct Invariants {
    #[serde(rename = "cold_from")]
    pub slow_start_from: f64,
    #[serde(rename = "ramp_time")]
    pub slow_start_time: f64,
    #[serde(rename = "tip_multiple")]
    pub overload_multiple: f64,
    #[serde(default = "default_overload_window", rename = "fall")]
    pub overload_window: f64,
    #[serde(default = "default_subscribe_timeout", rename = "ask_within")]
    pub subscribe_timeout: f64,
    #[serde(default)]
    pub late_shedding: bool,
}

/// Prices that the balancer is charged (`charges`).
#[derive(Deserialize, Default)]
pub(crate) struct Charges {
    #[serde(default, rename = "cross_zone")]
    pub cross_zone_price: f64,
}

fn default_dedup_scope() -> String {
    "all".into()
}

fn default_value() -> f64 {
    1.0
}

fn default_idle_close() -> f64 {
    Settings::default().idle_close
}

fn default_overload_window() -> f64 {
    Settings::default().overload_window
}

fn default_subscribe_timeout() -> f64 {
    Settings::default().subscribe_timeout
}

fn default_dial_timeout() -> f64 {
    DEFAULT_DIAL_TIMEOUT_MS
}

fn default_max_open() -> u64 {
    DEFAULT_MAX_OPEN
}
