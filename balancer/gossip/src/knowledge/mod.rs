//! What the copies know together. For each kind: an owner, a merge that commutes, repeats without harm and is bounded,
//! an age that travels with it, and a bound beyond which it is left out.
pub mod ages;
pub mod sums;
pub mod verdicts;
