//! What the replicas of a tier know together. Each kind has an owner, a merge that is commutative, idempotent and
//! bounded, an age that travels with it, and a bound beyond which it is left out. Sends nothing by itself.
pub mod ages;
pub mod sums;
pub mod verdicts;
