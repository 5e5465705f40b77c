//! The epoch: the number of an agreement on a version. Stateless.

/// A counter, with the agreed version in the lowest byte. Thus replicas at the same epoch use the same version, and of
/// two epochs all replicas choose the same one: the larger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Epoch(u64);

impl Epoch {
    /// The highest counter, at which no further agreement can be made. At one per second it is reached after nine
    /// million years.
    const LAST: u64 = 1 << 48;

    /// The initial epoch of a replica without a known agreement.
    pub(super) fn first(version: u8) -> Epoch {
        Epoch(u64::from(version))
    }

    /// Decodes the number in a datagram; `None` if its counter is out of range.
    pub(super) fn read(number: u64) -> Option<Epoch> {
        let epoch = Epoch(number);
        (epoch.counter() <= Epoch::LAST).then_some(epoch)
    }

    /// The number in a datagram.
    pub(super) fn number(self) -> u64 {
        self.0
    }

    pub(super) fn version(self) -> u8 {
        (self.0 & 0xff) as u8
    }

    pub(super) fn counter(self) -> u64 {
        self.0 >> 8
    }

    /// The epoch of the next agreement; unchanged if the counter is exhausted.
    pub(super) fn next(self, version: u8) -> Epoch {
        if self.counter() < Epoch::LAST {
            Epoch((self.counter() + 1) << 8 | u64::from(version))
        } else {
            self
        }
    }
}
