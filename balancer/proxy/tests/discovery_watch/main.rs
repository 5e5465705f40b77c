//! The watch on injected time: whatever discovery does, it is asked again before its deadline, and a change is known
//! within the time that the users state.
mod failures;
mod responses;
#[path = "../../src/discovery/watch.rs"]
mod watch;
mod world;
