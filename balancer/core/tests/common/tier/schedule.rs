//! Scheduled steps, ordered by time.
use super::requests::ClientRequest;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

#[derive(Clone, Debug)]
pub(super) enum Step {
    /// A tenant's next request arrives.
    Arrival { tenant: usize },
    /// A client retries.
    Retry(ClientRequest),
    /// A timer of an instance expires.
    Timer { instance: usize, token: u32 },
    /// A server completes a call.
    Completion { server: usize, call: u64 },
    /// A call times out.
    Timeout { call: u64 },
    /// Instances receive updates of their tier.
    TierUpdates,
}

/// A step with its time, and a sequence number that orders steps of equal time.
struct Scheduled {
    at: f64,
    sequence: u64,
    step: Step,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at
            .total_cmp(&other.at)
            .then(self.sequence.cmp(&other.sequence))
    }
}

/// Pending steps.
#[derive(Default)]
pub(super) struct Schedule(BinaryHeap<Reverse<Scheduled>>);

impl Schedule {
    pub(super) fn add(&mut self, at: f64, sequence: u64, step: Step) {
        self.0.push(Reverse(Scheduled { at, sequence, step }));
    }

    /// Removes the next step until a time, and returns it with its time.
    pub(super) fn next(&mut self, until: f64) -> Option<(f64, Step)> {
        let Reverse(next) = self.0.peek()?;
        if next.at > until {
            return None;
        }
        let Reverse(next) = self.0.pop()?;
        Some((next.at, next.step))
    }
}
