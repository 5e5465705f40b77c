//! Records of an earlier run: whether they may still be used, and their values. Owns no state.
use crate::listing::{Listing, ListingError, Names};
use balancer_core::{Learned, Millis, Settings, SettingsError};
use balancer_snapshots::record::RecordError;
use balancer_snapshots::{unix_ms, Found, Record};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A clock may have gone back by this much without what was written then counting as of the future.
const MAX_CLOCK_STEP_BACK: Duration = Duration::from_secs(60);

/// Why a record is not used.
#[derive(Debug, thiserror::Error)]
pub(super) enum RecordUnusable {
    /// There is none.
    #[error("none was kept")]
    Missing,
    /// Its bytes can't be used.
    #[error("{0}")]
    Invalid(#[source] RecordError),
    /// Its positions are another deployment's.
    #[error("it is of another deployment")]
    OtherDeployment,
    /// The clock went back.
    #[error("it is from {:.0} s in the future", ahead_ms / 1000.0)]
    InFuture {
        /// By how much, in milliseconds.
        ahead_ms: Millis,
    },
    /// The options say not to use it.
    #[error("not asked for")]
    SwitchedOff,
    /// It is not of the expected form.
    #[error("{0}")]
    Json(#[source] serde_json::Error),
    /// It was learned under other settings.
    #[error("the settings are others now")]
    OtherSettings,
    /// It does not fit the settings.
    #[error("{0}")]
    Mismatch(#[source] SettingsError),
    /// It is older than the options allow.
    #[error("it is {:.0} s old", age_ms / 1000.0)]
    TooOld {
        /// Its age, in milliseconds.
        age_ms: Millis,
    },
    /// It is no list.
    #[error(transparent)]
    Listing(#[from] ListingError),
}

/// A value that was restored.
pub(crate) struct Restored<T> {
    /// The value.
    pub value: T,
    /// Its age, in milliseconds.
    pub age_ms: Millis,
}

/// The record of what was learned.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename = "Lesson")]
pub(super) struct LearnedRecord {
    /// Fingerprint of the settings that it was learned under.
    #[serde(rename = "policy")]
    pub settings_fingerprint: u32,
    /// What was learned.
    pub learned: Learned,
}

/// Returns a record that is of this deployment and not of the future.
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

/// Restores what was learned.
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
