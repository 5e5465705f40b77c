//! Compares values with bytes that were stored when their form was fixed.
//!
//! The stored files have one record a line, `NAME: HEX`. They are never written by a test: whoever changes a form on
//! purpose takes the new line from the failure message, and says how data and processes with the old form go on.
use magpiegap_protocol::{decode, encode};
use minicbor::{Decode, Encode};
use std::{collections::BTreeMap, fmt::Write};

/// Stored records, and what was found wrong with those compared so far.
pub(crate) struct Stored {
    /// Those that no value was compared with yet.
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

    /// The value is encoded as the stored bytes, and they are read as the value.
    pub(crate) fn keeps<T>(&mut self, name: &str, value: &T)
    where
        T: Encode<()> + for<'b> Decode<'b, ()> + PartialEq,
    {
        let stored = self.records.get(name).copied();
        let now = hex(&encode(value));
        if stored != Some(now.as_str()) {
            self.faults.push(format!("now encoded as {name}: {now}"));
        }
        self.reads(name, value);
    }

    /// The stored bytes, in a form that is not written any more, are read as the value.
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

    /// The stored bytes of a record, once.
    pub(crate) fn bytes(&mut self, name: &str) -> Option<Vec<u8>> {
        self.records.remove(name).and_then(unhex)
    }

    /// All that is wrong, also stored records that no value was compared with.
    pub(crate) fn faults(self) -> Vec<String> {
        let left = self
            .records
            .keys()
            .map(|name| format!("stored, but compared with nothing: {name}"));
        self.faults.into_iter().chain(left).collect()
    }
}

/// Bytes as lower-case hexadecimal digits.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing into a text can't fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// `None` for text that isn't pairs of hexadecimal digits.
fn unhex(text: &str) -> Option<Vec<u8>> {
    let pair = |start| u8::from_str_radix(text.get(start..start + 2)?, 16).ok();
    (0..text.len()).step_by(2).map(pair).collect()
}
