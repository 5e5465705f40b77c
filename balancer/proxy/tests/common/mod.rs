//! A balancer under test between small fakes: clients, upstreams and discovery, on ephemeral loopback ports.
//! Everything waits for what it needs to have happened; [`PATIENCE`] only ends a test that has failed.
#![allow(dead_code, unused_imports)]
pub mod agent;
mod client;
mod config;
mod discovery;
mod message;
mod node;
pub mod raw;
mod upstream;

pub use client::Client;
pub use config::config;
pub use discovery::{listing, Discovery};
pub use message::{get, pay, read, Message};
pub use node::{command, limited_command, Node};
pub use upstream::{ok, refusing, status, Seen, Then, Unreachable, Upstream};

use std::time::Duration;

pub const PATIENCE: Duration = Duration::from_secs(20);
