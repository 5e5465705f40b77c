//! Times and identities.
use serde::{Deserialize, Serialize};

/// Milliseconds: a point on the caller's clock, or a span of it.
pub type Millis = f64;

/// Identity of one request while it is open; never used twice by an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// Identity of one upstream server. Has no meaning; the same value at every balancer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct UpstreamId(pub u64);
