//! Injects the planned faults, each at its time, and takes them back.
//!
//! `schedule` starts each fault and picks who carries it out; a module each acts on balancers, disks,
//! the network, links and upstreams, through the handles of `injector`. Discovery learns of changes through
//! `announcements`. What a fault excuses is the oracle's to judge.
mod announcements;
mod balancers;
mod disks;
mod error;
mod injector;
mod network;
mod partition;
mod schedule;
mod upstreams;

pub use schedule::schedule;
