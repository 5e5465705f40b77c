//! Scheduled steps, ordered by simulated time.
use balancer_core::*;

pub(super) enum Step {
    Arrival,
    Timer(usize, u64, u32),
    CallEnd { call: Call, ending: Ending },
    BalancerRestart,
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

pub(super) struct ScheduledStep(pub(super) f64, pub(super) u64, pub(super) Step);
impl PartialEq for ScheduledStep {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for ScheduledStep {}
impl PartialOrd for ScheduledStep {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledStep {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}
