//! Texts changed at random, for tests of bad input: the same ones for the same seed.

/// Messages may quote what was read; they stay this short all the same.
const LINE_MOST: usize = 400;

/// A small generator (SplitMix64): the same numbers for the same seed, always.
pub(crate) struct Numbers(pub u64);

impl Numbers {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub(crate) fn below(&mut self, n: usize) -> usize {
        (self.next() % n.max(1) as u64) as usize
    }
}

/// What may stand where a value was; the time is longer than the reader under test takes.
fn values(too_long: &str) -> [&str; 22] {
    [
        "null",
        "true",
        "-1",
        "0",
        "0.5",
        "7",
        "1e6",
        "1e-320",
        "1e300",
        "1e999",
        "NaN",
        "Infinity",
        "4294967295",
        "18446744073709551615",
        "18446744073709551616",
        "\"\"",
        "\"\\u0000\\n\"",
        "\"127.0.0.1:0\"",
        too_long,
        "[]",
        "{}",
        "[[[[[[[[",
    ]
}

/// One change or two: a value replaced, a byte changed, a span taken out, doubled or cut off.
/// Values begin after the separator.
pub(crate) fn mutated(text: &str, separator: u8, too_long: &str, numbers: &mut Numbers) -> Vec<u8> {
    let values = values(too_long);
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..=numbers.below(2) {
        let at = numbers.below(bytes.len());
        let to = (at + 1 + numbers.below(30)).min(bytes.len());
        match numbers.below(10) {
            0 => bytes.truncate(at),
            1 => bytes
                .iter_mut()
                .skip(at)
                .take(1)
                .for_each(|b| *b = (numbers.next() & 0xff) as u8),
            2 => drop(bytes.drain(at..to)),
            3 => {
                let again = bytes[at..to].to_vec();
                bytes.splice(at..at, again);
            }
            _ => {
                let from = bytes[at..]
                    .iter()
                    .position(|b| *b == separator)
                    .map_or(at, |p| at + p + 1);
                let ends = |b: &u8| matches!(b, b',' | b'}' | b']' | b'\n');
                let end = bytes[from..]
                    .iter()
                    .position(ends)
                    .map_or(bytes.len(), |p| from + p);
                bytes.splice(from..end, values[numbers.below(values.len())].bytes());
            }
        }
    }
    bytes
}

pub(crate) fn is_one_line(error: &str) {
    let plain = !error.is_empty() && !error.contains(char::is_control);
    assert!(plain && error.chars().count() <= LINE_MOST, "{error:?}");
}
