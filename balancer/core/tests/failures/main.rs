//! One test for each failure met: it fails without the guard that `balancer/core/src/policy` names it at.
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
