//! A balancer under test between small fakes: clients, upstreams and discovery, on ephemeral loopback ports.
//! Everything waits for what it needs to have happened; [`TEST_TIMEOUT`] only ends a test that has failed.
#![allow(dead_code, unused_imports)]
pub(crate) mod agent;
mod client;
mod config;
mod discovery;
mod message;
mod node;
pub(crate) mod raw;
mod upstream;

pub(crate) use client::Client;
pub(crate) use config::config;
pub(crate) use discovery::{listing, Discovery};
pub(crate) use message::{get, pay, read, Message};
pub(crate) use node::{command, limited_command, Node};
pub(crate) use upstream::{ok, refusing, status, Seen, Then, Unreachable, Upstream};

use std::time::Duration;

pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);
