//! Tests of the lab: the validation of experiments, and complete fleets of processes.
mod common;
mod experiments;
mod fleets;
mod tier;
