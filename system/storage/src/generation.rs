//! Generations of a store, and the files that each one uses.

/// Counts the checkpoints of a store; zero before the first one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Generation(pub(crate) u64);

impl Generation {
    /// The generation that the next checkpoint begins.
    pub(crate) fn next(self) -> Generation {
        Generation(self.0 + 1)
    }

    /// Which slot and log the generation uses.
    pub(crate) fn parity(self) -> Parity {
        if self.0.is_multiple_of(2) {
            Parity::Even
        } else {
            Parity::Odd
        }
    }

    /// Its encoding in slots and logs.
    pub(crate) fn to_le_bytes(self) -> [u8; 8] {
        self.0.to_le_bytes()
    }
}

/// Whether a generation is even or odd: the two use different files, in turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Parity {
    /// Of generations 0, 2, 4 and so on.
    Even,
    /// Of generations 1, 3, 5 and so on.
    Odd,
}
