//! State that the replicas of a tier share: loads and verdicts. Each entry has an owner, is merged by a commutative,
//! idempotent and bounded operation, carries its age, and is left out once it is older than its bound. Sends nothing by
//! itself.
pub mod ages;
pub mod sums;
pub mod verdicts;
