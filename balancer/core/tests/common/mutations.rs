//! Deterministic random mutations of text, shared by the invalid-input tests of several crates.

/// Mutates texts of one format.
pub(crate) struct Mutations<'a> {
    /// Byte that precedes a value.
    pub separator: u8,
    /// Bytes that can follow a value.
    pub value_ends: &'static [u8],
    /// Replacements for values.
    pub values: Vec<&'a str>,
    pub generator: SplitMix64,
}

/// SplitMix64 generator: the same sequence for the same seed.
pub(crate) struct SplitMix64(pub u64);

impl SplitMix64 {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn below(&mut self, n: usize) -> usize {
        (self.next() % n.max(1) as u64) as usize
    }
}

impl Mutations<'_> {
    /// The text after one or two mutations: a value replaced, a byte changed, a range removed or duplicated, or the text
    /// truncated.
    pub(crate) fn of(&mut self, text: &str) -> Vec<u8> {
        let mut bytes = text.as_bytes().to_vec();
        for _ in 0..=self.generator.below(2) {
            self.change(&mut bytes);
        }
        bytes
    }

    fn change(&mut self, bytes: &mut Vec<u8>) {
        let at = self.generator.below(bytes.len());
        let to = (at + 1 + self.generator.below(30)).min(bytes.len());
        match self.generator.below(10) {
            0 => bytes.truncate(at),
            1 => bytes
                .iter_mut()
                .skip(at)
                .take(1)
                .for_each(|byte| *byte = (self.generator.next() & 0xff) as u8),
            2 => drop(bytes.drain(at..to)),
            3 => {
                let again = bytes[at..to].to_vec();
                bytes.splice(at..at, again);
            }
            _ => self.replace_value(bytes, at),
        }
    }

    /// Replaces the first value after position `at`, or the text at that position if no value follows.
    fn replace_value(&mut self, bytes: &mut Vec<u8>, at: usize) {
        let from = bytes[at..]
            .iter()
            .position(|byte| *byte == self.separator)
            .map_or(at, |p| at + p + 1);
        let end = bytes[from..]
            .iter()
            .position(|byte| self.value_ends.contains(byte))
            .map_or(bytes.len(), |p| from + p);
        let value = self.values[self.generator.below(self.values.len())];
        bytes.splice(from..end, value.bytes());
    }
}
