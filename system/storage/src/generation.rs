//! Generations of a store, and the files that each generation uses.

/// Number of checkpoints completed by a store; zero before the first one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Generation(pub(crate) u64);

impl Generation {
    /// The generation that the next checkpoint starts.
    pub(crate) fn next(self) -> Generation {
        Generation(self.0 + 1)
    }

    /// Selects the slot and the log that the generation uses.
    pub(crate) fn parity(self) -> Parity {
        if self.0.is_multiple_of(2) {
            Parity::Even
        } else {
            Parity::Odd
        }
    }

    /// The encoding in slots and logs.
    pub(crate) fn to_le_bytes(self) -> [u8; 8] {
        self.0.to_le_bytes()
    }
}

/// Whether a generation is even or odd. Consecutive generations alternate between two sets of files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Parity {
    /// Generations 0, 2, 4 and so on.
    Even,
    /// Generations 1, 3, 5 and so on.
    Odd,
}
