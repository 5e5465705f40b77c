//! The discovery watch on simulated time: whatever discovery does, it is called again before its deadline, and a
//! change is known within the stated time.
mod failures;
mod harness;
mod responses;
#[path = "../../src/discovery/watch.rs"]
mod watch;
