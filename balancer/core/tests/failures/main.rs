//! Regression tests, one for each known failure mode. Each fails without its safeguard in `balancer/core/src/policy`.
mod attempts;
mod capacity;
mod choice;
#[path = "../common/mod.rs"]
mod common;
mod connections;
mod ejection;
mod overload;
mod setup;
mod tenants;
mod zones;
