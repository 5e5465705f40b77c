//! A running balancer and invalid input: at startup, on SIGHUP, from discovery and from clients. None of it stops the
//! balancer or changes its state.
#[path = "../common/mod.rs"]
mod common;
mod process;
mod reloads;
mod requests;
mod starts;
