//! Validates and parses records from an earlier run. Owns no state.
use crate::listing::{Listing, ListingError, Names};
use balancer_core::{Learned, Millis, Settings, SettingsError};
use balancer_snapshots::record::RecordError;
use balancer_snapshots::{unix_ms, Found, Record};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Tolerance for clock steps: a record dated at most this far in the future is still accepted.
const MAX_CLOCK_STEP_BACK: Duration = Duration::from_secs(60);

/// Why a record is not used.
#[derive(Debug, thiserror::Error)]
pub(super) enum RecordUnusable {
    /// There is no record.
    #[error("none saved")]
    Missing,
    /// The record is corrupt.
    #[error("{0}")]
    Invalid(#[source] RecordError),
    /// The record belongs to another deployment, so its positions have other meanings.
    #[error("it belongs to another deployment")]
    OtherDeployment,
    /// The record is dated in the future: the clock was set back.
    #[error("it is dated {:.0} s in the future", ahead_ms / 1000.0)]
    InFuture {
        /// How far in the future, in milliseconds.
        ahead_ms: Millis,
    },
    /// Restoring is switched off in the options.
    #[error("switched off")]
    SwitchedOff,
    /// The record cannot be parsed.
    #[error("{0}")]
    Json(#[source] serde_json::Error),
    /// The state was learned under other settings.
    #[error("the settings have changed")]
    OtherSettings,
    /// The state does not match the settings.
    #[error("{0}")]
    Mismatch(#[source] SettingsError),
    /// The record is older than the options allow.
    #[error("too old: {:.0} s", age_ms / 1000.0)]
    TooOld {
        /// The age of the record, in milliseconds.
        age_ms: Millis,
    },
    /// The list is invalid.
    #[error(transparent)]
    Listing(#[from] ListingError),
}

/// A restored value.
pub(crate) struct Restored<T> {
    /// The value.
    pub value: T,
    /// The age of the value, in milliseconds.
    pub age_ms: Millis,
}

/// The record of the learned state.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename = "Lesson")]
pub(super) struct LearnedRecord {
    /// Fingerprint of the settings under which the state was learned.
    #[serde(rename = "policy")]
    pub settings_fingerprint: u32,
    /// The learned state.
    pub learned: Learned,
}

/// Returns the record if it belongs to this deployment and is not dated in the future.
fn usable(found: &Found, deployment: u32) -> Result<Restored<&Record>, RecordUnusable> {
    let record = match found {
        Found::Record(record) => record,
        Found::Missing => return Err(RecordUnusable::Missing),
        Found::Invalid(error) => return Err(RecordUnusable::Invalid(error.clone())),
    };
    if record.settings != deployment {
        return Err(RecordUnusable::OtherDeployment);
    }
    let age_ms = unix_ms() - record.written_ms;
    if age_ms < -(MAX_CLOCK_STEP_BACK.as_secs_f64() * 1000.0) {
        return Err(RecordUnusable::InFuture { ahead_ms: -age_ms });
    }
    Ok(Restored {
        value: record,
        age_ms: age_ms.max(0.0),
    })
}

/// Restores the learned state.
pub(super) fn restore_learned(
    found: &Found,
    deployment: u32,
    settings_fingerprint: u32,
    settings: &Settings,
) -> Result<Restored<Learned>, RecordUnusable> {
    let record = usable(found, deployment)?;
    let saved: LearnedRecord =
        serde_json::from_str(&record.value.payload).map_err(RecordUnusable::Json)?;
    if saved.settings_fingerprint != settings_fingerprint {
        return Err(RecordUnusable::OtherSettings);
    }
    saved
        .learned
        .validate(settings)
        .map_err(RecordUnusable::Mismatch)?;
    Ok(Restored {
        value: saved.learned,
        age_ms: record.age_ms,
    })
}

/// Restores the list of upstreams, unless it is older than `max_age`.
pub(super) fn restore_list(
    found: &Found,
    deployment: u32,
    names: &Names,
    max_age: Duration,
) -> Result<Restored<Listing>, RecordUnusable> {
    let record = usable(found, deployment)?;
    let age_ms = record.age_ms;
    if age_ms > max_age.as_secs_f64() * 1000.0 {
        return Err(RecordUnusable::TooOld { age_ms });
    }
    let value = Listing::parse(record.value.payload.as_bytes(), names)?;
    Ok(Restored { value, age_ms })
}
