//! Text form of the settings that identifies the configuration of stored state. It keeps the field names of its first
//! version, so that renaming a field does not invalidate the state that an earlier version has saved.
use super::{Class, Settings};
use std::fmt;

/// Settings as [`Settings::stored_form`] writes them.
struct StoredSettings<'a>(&'a Settings);

/// A class as [`Settings::stored_form`] writes it.
struct StoredClass<'a>(&'a Class);

impl Settings {
    /// Text form of the settings, equal for equal settings. Learned state is only valid for the text form it was saved
    /// with. The names in it never change.
    pub fn stored_form(&self) -> String {
        format!("{:?}", StoredSettings(self))
    }
}

impl fmt::Debug for StoredSettings<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let settings = self.0;
        let classes: Vec<StoredClass<'_>> = settings.classes.iter().map(StoredClass).collect();
        formatter
            .debug_struct("Settings")
            .field("index", &settings.index)
            .field("balancers", &settings.balancers)
            .field("stage", &settings.stage)
            .field("zone", &settings.zone)
            .field("classes", &classes)
            .field("tenants", &settings.tenants)
            .field("attempts_cap", &settings.max_attempts)
            .field("cancel", &settings.cancel)
            .field("ask_for_list", &settings.subscribes)
            .field("ask_within", &settings.subscribe_timeout)
            .field("idle_close", &settings.idle_close)
            .field("max_retry_after", &settings.max_retry_after)
            .field("cold_from", &settings.slow_start_from)
            .field("ramp_time", &settings.slow_start_time)
            .field("tip_multiple", &settings.overload_multiple)
            .field("fall", &settings.overload_window)
            .field("late_shedding", &settings.late_shedding)
            .field("cross_zone_price", &settings.cross_zone_price)
            .finish()
    }
}

impl fmt::Debug for StoredClass<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let class = self.0;
        formatter
            .debug_struct("Class")
            .field("objective", &class.objective)
            .field("deadline", &class.deadline)
            .field("effect", &class.effect)
            .field("late_worth", &class.late_value)
            .field("worth", &class.value)
            .field("runs_in", &class.zones)
            .field("kinds_only", &class.kinds)
            .finish()
    }
}
