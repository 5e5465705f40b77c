//! A running balancer and bad input: from its starter, after SIGHUP, from discovery and from clients. Nothing of it ends
//! the balancer or changes what it knew.
#[path = "../common/mod.rs"]
mod common;
mod process;
mod reloads;
mod requests;
mod starts;
