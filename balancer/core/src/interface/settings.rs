//! What an instance starts with: classes, tenants, the deployment.
use super::checks::{check, is_amount, is_part, is_positive};
use super::{Millis, SettingsError};

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Effect {
    /// May run any number of times.
    #[default]
    Free,
    /// Carries a key; upstreams within `scope` discard repeats for `window` after the first send.
    Guarded {
        /// The upstreams that discard each other's repeats.
        scope: DedupScope,
        /// How long they remember, counted from the send of the first attempt that may have run.
        window: Millis,
    },
    /// Must never run twice.
    SingleShot,
}

impl Effect {
    /// Whether a retry does no harm, wherever it goes.
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

/// Which upstreams share the memory of keys for [`Effect::Guarded`] requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every upstream of the tier.
    All,
    /// Those in the same zone.
    Zone,
    /// Those of the same group.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// A response within this time earns its full value. Above zero.
    pub objective: Millis,
    /// The longest that a client waits over all its retries. At least `objective`.
    pub deadline: Millis,
    /// What a repeat may do.
    pub effect: Effect,
    /// The part of its value that a response after `objective` still earns.
    pub late_value: f64,
    /// What a response earns beside one of another class; zero: not stated.
    pub value: f64,
    /// The only zones it may be sent to, at every attempt; `None`: any. Not an empty list.
    pub zones: Option<Vec<u16>>,
    /// The only machine kinds it may be sent to, at every attempt; `None`: any. Not an empty list.
    pub kinds: Option<Vec<u8>>,
}

/// A tenant with a stated share in the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its share relative to the other tenants; need not sum to one. At least zero.
    pub share: f64,
    /// Requests per second within its share, over all balancers together; zero when not stated.
    pub quota_per_s: f64,
}

/// Everything an instance starts with. [`Settings::default`] gives documented defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This instance's number among the balancers of its tier, from zero.
    pub index: u32,
    /// How many balancers the tier has. At least one.
    pub balancers: u32,
    /// The tier that this instance sends to; zero is the one that clients reach first.
    pub stage: u32,
    /// The zone this instance runs in.
    pub zone: u16,
    /// Request classes; requests name them by position. At least one.
    pub classes: Vec<Class>,
    /// Tenants; requests name them by position. Empty: all traffic is one tenant's.
    pub tenants: Vec<Tenant>,
    /// The most attempts for one request. At least one.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether the endpoint list must be requested (`true`) or is pushed (`false`).
    pub subscribes: bool,
    /// An instance that has neither a subscription nor requested one for this long counts as notified all the same.
    pub subscribe_timeout: Millis,
    /// Idle connections close after this time.
    pub idle_close: Millis,
    /// The longest advised wait before a retry that clients heed; zero: no advice is passed on.
    pub max_retry_after: Millis,
    /// An upstream in slow start begins at this fraction of its capacity or higher.
    pub slow_start_from: f64,
    /// Slow start ends after this time at the latest.
    pub slow_start_time: Millis,
    /// An upstream in slow start is overloaded when sent more than this multiple of its capacity at that moment.
    pub overload_multiple: f64,
    /// The window in which that is counted, for what all balancers send together. Above zero.
    pub overload_window: Millis,
    /// Upstreams also shed work that they had begun: [`Ending::Rejected`](crate::Ending::Rejected) is no proof that an
    /// attempt never ran.
    pub late_shedding: bool,
    /// Price of one zone crossing per first attempt, as a part of a request's value.
    pub cross_zone_price: f64,
}

impl Default for Settings {
    /// One balancer, one free class (1 s objective, 3 s deadline), one tenant, a pushed list, one zone.
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
    /// The mean objective of all classes.
    pub(crate) fn mean_objective(&self) -> Millis {
        let objectives = self.classes.iter().map(|class| class.objective);
        objectives.sum::<f64>() / self.classes.len() as f64
    }

    /// Checks every field.
    ///
    /// # Errors
    ///
    /// The first field at fault, by the name that it has in [`Settings::stored_form`].
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
            is_part(self.slow_start_from),
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
