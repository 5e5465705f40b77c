//! Upgrade scenarios on simulated time: how soon the version changes, how often, and with which notifications.
//! `version_model.rs` checks the properties that hold in every state.
mod faults;
mod tier;
mod upgrades;
