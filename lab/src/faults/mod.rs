//! Injects the planned faults, each at its time, and reverts them.
//!
//! `schedule` starts each fault and dispatches it to a module: `balancers`, `disks`, `network`, `partition` or
//! `upstreams`, which act through the handles of `injector`. `announcements` sends changes to discovery. The oracle
//! decides which violations a fault excuses.
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
