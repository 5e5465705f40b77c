//! Scheduled steps, ordered by simulated time.
use balancer_core::*;

pub(super) enum Step {
    Arrival,
    Timer(usize, u64, u32),
    Ended { call: Call, ending: Ending },
    BalancerRestarts,
    UpstreamRestart,
    Update(usize),
}

/// An attempt that was sent.
pub(super) struct Call {
    pub(super) balancer: usize,
    pub(super) incarnation: u64,
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    pub(super) upstream: UpstreamId,
    pub(super) sent_at: f64,
}

pub(super) struct At(pub(super) f64, pub(super) u64, pub(super) Step);
impl PartialEq for At {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for At {}
impl PartialOrd for At {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for At {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}
