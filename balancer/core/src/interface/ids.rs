//! Times and identifiers.
use serde::{Deserialize, Serialize};

/// Milliseconds: a time on the caller's clock, or a duration.
pub type Millis = f64;

/// Identifier of one request; never reused by an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// Opaque identifier of one upstream server; the same at every balancer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct UpstreamId(pub u64);
