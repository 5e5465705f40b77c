//! What happens next, ordered by time.
use super::clients::Want;

#[derive(Clone, Debug)]
pub(super) enum Due {
    Arrival(usize),
    Try(Want),
    Timer(usize, u32),
    Done(usize, u64),
    Timeout(u64),
    Word,
}

/// An event with its time and its number, which decides between equal times.
pub(super) struct At(pub f64, pub u64, pub Due);

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
