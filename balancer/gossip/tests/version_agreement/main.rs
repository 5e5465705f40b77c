//! The hard cases of an upgrade, each on injected time. What holds in every state is in `version_model.rs`; here is how
//! soon, how often and with which notifications.
mod faults;
mod tier;
mod upgrades;
