//! Configuration of an instance: request classes, tenants and deployment.
use super::checks::{check, is_amount, is_fraction, is_positive};
use super::{Millis, SettingsError};

/// Whether requests of a class may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Effect {
    /// Idempotent: may run any number of times.
    #[default]
    Free,
    /// Carries a deduplication key; upstreams within `scope` discard duplicates for `window` after the first send.
    Guarded {
        /// The upstreams that share deduplication keys.
        scope: DedupScope,
        /// How long keys are kept, from the sending of the first attempt that may have run.
        window: Millis,
    },
    /// Not idempotent: must never run twice.
    SingleShot,
}

impl Effect {
    /// Whether a retry is safe at any upstream.
    pub fn harmless(self) -> bool {
        matches!(
            self,
            Effect::Free
                | Effect::Guarded {
                    scope: DedupScope::All,
                    ..
                }
        )
    }
}

/// Which upstreams share the deduplication keys of [`Effect::Guarded`] requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All upstreams of the tier.
    All,
    /// Upstreams in the same zone.
    Zone,
    /// Upstreams of the same group.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Latency objective: a response within this time has its full value. Above zero.
    pub objective: Millis,
    /// Longest time that a client waits, including all its retries. At least `objective`.
    pub deadline: Millis,
    /// Whether a request may run more than once.
    pub effect: Effect,
    /// Fraction of its value that a response after `objective` keeps.
    pub late_value: f64,
    /// Value of a response relative to other classes; zero if not configured.
    pub value: f64,
    /// Zones to which attempts may be sent; `None` for any. Must not be an empty list.
    pub zones: Option<Vec<u16>>,
    /// Machine types to which attempts may be sent; `None` for any. Must not be an empty list.
    pub kinds: Option<Vec<u8>>,
}

/// A tenant with a configured share of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Share relative to the other tenants; shares need not add up to one. At least zero.
    pub share: f64,
    /// Request quota per second, over all balancers; zero if not configured.
    pub quota_per_s: f64,
}

/// Configuration of an instance. See [`Settings::default`] for the defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Index of this instance among the balancers of its tier, from zero.
    pub index: u32,
    /// Number of balancers in the tier. At least one.
    pub balancers: u32,
    /// Index of the tier that this instance sends to; zero is the tier that clients reach first.
    pub stage: u32,
    /// Zone in which this instance runs.
    pub zone: u16,
    /// Request classes, referenced by index. At least one.
    pub classes: Vec<Class>,
    /// Tenants, referenced by index. If empty, all traffic belongs to one tenant.
    pub tenants: Vec<Tenant>,
    /// Maximum number of attempts per request. At least one.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether the endpoint list is subscribed to (`true`) or pushed (`false`).
    pub subscribes: bool,
    /// An instance that has no subscription and has not requested one for this long is treated as notified of changes.
    /// Above zero.
    pub subscribe_timeout: Millis,
    /// Idle connections are closed after this time.
    pub idle_close: Millis,
    /// Longest retry delay that clients respect; zero if no delay is advised.
    pub max_retry_after: Millis,
    /// Minimum fraction of its capacity that an upstream has at the beginning of slow start.
    pub slow_start_from: f64,
    /// Maximum duration of slow start.
    pub slow_start_time: Millis,
    /// An upstream in slow start is overloaded beyond this multiple of its current capacity.
    pub overload_multiple: f64,
    /// Window over which `overload_multiple` applies, for calls from all balancers. Above zero.
    pub overload_window: Millis,
    /// Whether upstreams may also reject requests that they have started, so that
    /// [`Ending::Rejected`](crate::Ending::Rejected) does not prove that an attempt never ran.
    pub late_shedding: bool,
    /// Cost of sending a first attempt to another zone, as a fraction of a request's value.
    pub cross_zone_price: f64,
}

impl Default for Settings {
    /// One balancer, one idempotent class (objective 1 s, deadline 3 s), one tenant, a pushed endpoint list, one zone.
    fn default() -> Self {
        Settings {
            index: 0,
            balancers: 1,
            stage: 0,
            zone: 0,
            classes: vec![Class {
                objective: 1000.0,
                deadline: 3000.0,
                effect: Effect::Free,
                ..Class::default()
            }],
            tenants: Vec::new(),
            max_attempts: 3,
            cancel: false,
            subscribes: false,
            subscribe_timeout: 10_000.0,
            idle_close: 5000.0,
            max_retry_after: 0.0,
            slow_start_from: 0.1,
            slow_start_time: 30_000.0,
            overload_multiple: 2.0,
            overload_window: 3000.0,
            late_shedding: false,
            cross_zone_price: 0.0,
        }
    }
}

impl Settings {
    /// Mean objective over all classes.
    pub(crate) fn mean_objective(&self) -> Millis {
        let objectives = self.classes.iter().map(|class| class.objective);
        objectives.sum::<f64>() / self.classes.len() as f64
    }

    /// Checks every field.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field, by its name in [`Settings::stored_form`].
    pub fn validate(&self) -> Result<(), SettingsError> {
        check(self.balancers >= 1, "balancers", "at least 1")?;
        check(!self.classes.is_empty(), "classes", "at least one")?;
        check(self.max_attempts >= 1, "attempts_cap", "at least 1")?;
        self.classes.iter().try_for_each(Class::validate)?;
        self.tenants.iter().try_for_each(Tenant::validate)?;
        check(
            is_positive(self.subscribe_timeout),
            "ask_within",
            "a time above 0",
        )?;
        check(
            is_amount(self.idle_close),
            "idle_close",
            "a time of at least 0",
        )?;
        check(
            is_amount(self.max_retry_after),
            "max_retry_after",
            "a time of at least 0",
        )?;
        self.validate_slow_start()?;
        check(
            is_amount(self.cross_zone_price),
            "cross_zone_price",
            "a number of at least 0",
        )
    }

    fn validate_slow_start(&self) -> Result<(), SettingsError> {
        check(
            is_fraction(self.slow_start_from),
            "cold_from",
            "between 0 and 1",
        )?;
        check(
            is_amount(self.slow_start_time),
            "ramp_time",
            "a time of at least 0",
        )?;
        check(
            is_amount(self.overload_multiple),
            "tip_multiple",
            "a number of at least 0",
        )?;
        check(is_positive(self.overload_window), "fall", "a time above 0")
    }
}

impl Class {
    fn validate(&self) -> Result<(), SettingsError> {
        check(
            is_positive(self.objective),
            "classes.objective",
            "a time above 0",
        )?;
        check(
            is_positive(self.deadline),
            "classes.deadline",
            "a time above 0",
        )?;
        check(
            is_amount(self.late_value),
            "classes.late_worth",
            "a number of at least 0",
        )?;
        check(
            is_amount(self.value),
            "classes.worth",
            "a number of at least 0",
        )?;
        check(
            self.zones.as_ref().is_none_or(|zones| !zones.is_empty()),
            "classes.runs_in",
            "absent or not empty",
        )?;
        check(
            self.kinds.as_ref().is_none_or(|kinds| !kinds.is_empty()),
            "classes.kinds_only",
            "absent or not empty",
        )?;
        if let Effect::Guarded { window, .. } = self.effect {
            check(is_amount(window), "classes.window", "a time of at least 0")?;
        }
        Ok(())
    }
}

impl Tenant {
    fn validate(&self) -> Result<(), SettingsError> {
        check(
            is_amount(self.share),
            "tenants.share",
            "a number of at least 0",
        )?;
        check(
            is_amount(self.quota_per_s),
            "tenants.quota_per_s",
            "a rate of at least 0",
        )
    }
}
