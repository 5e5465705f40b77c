//! A balancer under test with fake clients, upstreams and discovery, on ephemeral loopback ports. Each step waits for
//! the event that it needs; [`TEST_TIMEOUT`] only ends a test that has failed.
#![allow(dead_code, unused_imports)]
mod client;
mod config;
mod discovery;
mod message;
mod node;
pub(crate) mod raw;
pub(crate) mod scripted_discovery;
mod upstream;

pub(crate) use client::Client;
pub(crate) use config::config;
pub(crate) use discovery::{listing, Discovery};
pub(crate) use message::{get, pay, read, Message};
pub(crate) use node::{command, limited_command, Node};
pub(crate) use upstream::{
    ok, refusing, status, Unreachable, Upstream, UpstreamAction, UpstreamEvent,
};

use std::time::Duration;

pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);
