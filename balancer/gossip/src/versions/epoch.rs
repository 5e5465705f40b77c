//! The number of an agreement on a version. No state.

/// A counter, and below it in the last byte the version agreed on. So two replicas that know of the same agreement
/// speak the same version, and of two agreements all take the same one: the larger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Epoch(u64);

impl Epoch {
    /// The counter at which no further agreement can be made: at one each second, after nine million years.
    const LAST: u64 = 1 << 48;

    /// Where a replica that knows of no agreement begins: at the lowest version.
    pub(super) fn first(version: u8) -> Epoch {
        Epoch(u64::from(version))
    }

    /// As a datagram has it; nothing if no run of steps can have led there.
    pub(super) fn read(number: u64) -> Option<Epoch> {
        let epoch = Epoch(number);
        (epoch.counter() <= Epoch::LAST).then_some(epoch)
    }

    /// As a datagram has it.
    pub(super) fn number(self) -> u64 {
        self.0
    }

    pub(super) fn version(self) -> u8 {
        (self.0 & 0xff) as u8
    }

    pub(super) fn counter(self) -> u64 {
        self.0 >> 8
    }

    /// A new agreement after this one; the same one where no number is left.
    pub(super) fn next(self, version: u8) -> Epoch {
        if self.counter() < Epoch::LAST {
            Epoch((self.counter() + 1) << 8 | u64::from(version))
        } else {
            self
        }
    }
}
