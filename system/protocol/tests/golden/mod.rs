//! Compares the encoding of values with stored bytes.
//!
//! The stored files contain one record per line, `NAME: HEX`. Tests never write them. To change an encoding
//! deliberately, copy the new line from the failure message and document how existing data and older processes remain
//! compatible.
use magpiegap_protocol::{decode, encode};
use minicbor::{Decode, Encode};
use std::{collections::BTreeMap, fmt::Write};

/// Stored records, and the mismatches found so far.
pub(crate) struct Stored {
    /// Records that have not been compared with a value yet.
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
                    .push(format!("line without a unique name: {line}")),
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
            self.faults.push(format!(
                "encoding changed; the new line is {name}: {encoded}"
            ));
        }
        self.reads(name, value);
    }

    /// Checks that stored bytes are decoded as the value. Also used for encodings that are no longer written.
    pub(crate) fn reads<T>(&mut self, name: &str, value: &T)
    where
        T: for<'b> Decode<'b, ()> + PartialEq,
    {
        let bytes = self.bytes(name);
        if bytes.and_then(|bytes| decode::<T>(&bytes).ok()).as_ref() != Some(value) {
            self.faults.push(format!(
                "stored bytes are not decoded as the expected value: {name}"
            ));
        }
    }

    /// Removes a record and returns its bytes.
    pub(crate) fn bytes(&mut self, name: &str) -> Option<Vec<u8>> {
        self.records.remove(name).and_then(unhex)
    }

    /// All mismatches, including stored records that were not compared with a value.
    pub(crate) fn faults(self) -> Vec<String> {
        let not_compared = self
            .records
            .keys()
            .map(|name| format!("stored record was not compared with any value: {name}"));
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

/// Decodes pairs of hexadecimal digits; `None` for other text.
fn unhex(text: &str) -> Option<Vec<u8>> {
    let pair = |start| u8::from_str_radix(text.get(start..start + 2)?, 16).ok();
    (0..text.len()).step_by(2).map(pair).collect()
}
