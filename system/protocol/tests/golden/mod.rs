//! Compares values with bytes that were stored when their encoding was fixed.
//!
//! The stored files have one record a line, `NAME: HEX`. They are never written by a test: whoever changes an encoding on
//! purpose takes the new line from the failure message, and says how data and processes with the old one go on.
use magpiegap_protocol::{decode, encode};
use minicbor::{Decode, Encode};
use std::{collections::BTreeMap, fmt::Write};

/// Stored records, and the faults of those compared so far.
pub(crate) struct Stored {
    /// Records that no value was compared with yet.
    records: BTreeMap<&'static str, &'static str>,
    faults: Vec<String>,
}

impl Stored {
    /// Reads the text of a stored file.
    pub(crate) fn read(text: &'static str) -> Stored {
        let mut stored = Stored {
            records: BTreeMap::new(),
            faults: Vec::new(),
        };
        for line in text.lines() {
            match line.split_once(": ") {
                Some((name, hex)) if stored.records.insert(name, hex).is_none() => {}
                _ => stored
                    .faults
                    .push(format!("a line without a name of its own: {line}")),
            }
        }
        stored
    }

    /// Checks that the value is encoded as the stored bytes, and that they are decoded as the value.
    pub(crate) fn keeps<T>(&mut self, name: &str, value: &T)
    where
        T: Encode<()> + for<'b> Decode<'b, ()> + PartialEq,
    {
        let stored = self.records.get(name).copied();
        let encoded = hex(&encode(value));
        if stored != Some(encoded.as_str()) {
            self.faults
                .push(format!("now encoded as {name}: {encoded}"));
        }
        self.reads(name, value);
    }

    /// Checks that stored bytes are decoded as the value, also in an encoding that is not written any more.
    pub(crate) fn reads<T>(&mut self, name: &str, value: &T)
    where
        T: for<'b> Decode<'b, ()> + PartialEq,
    {
        let bytes = self.bytes(name);
        if bytes.and_then(|bytes| decode::<T>(&bytes).ok()).as_ref() != Some(value) {
            self.faults
                .push(format!("stored bytes are not read as the value: {name}"));
        }
    }

    /// Takes the stored bytes of a record.
    pub(crate) fn bytes(&mut self, name: &str) -> Option<Vec<u8>> {
        self.records.remove(name).and_then(unhex)
    }

    /// All faults, also stored records that no value was compared with.
    pub(crate) fn faults(self) -> Vec<String> {
        let not_compared = self
            .records
            .keys()
            .map(|name| format!("stored, but compared with nothing: {name}"));
        self.faults.into_iter().chain(not_compared).collect()
    }
}

/// Bytes as lower-case hexadecimal digits.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing into a string can't fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// `None` for text that isn't pairs of hexadecimal digits.
fn unhex(text: &str) -> Option<Vec<u8>> {
    let pair = |start| u8::from_str_radix(text.get(start..start + 2)?, 16).ok();
    (0..text.len()).step_by(2).map(pair).collect()
}
