//! Values and lists within a payload of limited length. A list is a count byte followed by the items in postcard's
//! encoding. Items are added as long as they fit, so the most urgent must come first and a datagram is never too long.
//! Independent of message types.
use serde::de::DeserializeOwned;
use serde::Serialize;

use super::DecodeError;

/// Writes a payload of limited length.
pub(crate) struct Writer {
    bytes: Vec<u8>,
    max_len: usize,
}

impl Writer {
    pub(crate) fn new(max_len: usize) -> Writer {
        Writer {
            bytes: Vec::with_capacity(max_len),
            max_len,
        }
    }

    /// The number of bytes left.
    pub(crate) fn remaining(&self) -> usize {
        self.max_len.saturating_sub(self.bytes.len())
    }

    /// Writes one value if it fits with `reserved` bytes left after it; returns whether it was written.
    pub(crate) fn value<T: Serialize>(&mut self, value: &T, reserved: usize) -> bool {
        match postcard::to_stdvec(value) {
            Ok(written) if written.len() + reserved <= self.remaining() => {
                self.bytes.extend_from_slice(&written);
                true
            }
            _ => false,
        }
    }

    /// Writes as many items, in order, as fit into `max_len` bytes with `reserved` bytes left after them. Returns the
    /// number of items written.
    pub(crate) fn list<'a, T: Serialize + 'a>(
        &mut self,
        items: impl IntoIterator<Item = &'a T>,
        max_len: usize,
        reserved: usize,
    ) -> usize {
        let at = self.bytes.len();
        self.bytes.push(0);
        let end = (at + max_len).min(self.max_len.saturating_sub(reserved));
        let mut count: u8 = 0;
        for item in items {
            let Ok(written) = postcard::to_stdvec(item) else {
                break;
            };
            if self.bytes.len() + written.len() > end || count == u8::MAX {
                break;
            }
            self.bytes.extend_from_slice(&written);
            count += 1;
        }
        self.bytes[at] = count;
        usize::from(count)
    }

    pub(crate) fn finish(self) -> Vec<u8> {
        self.bytes
    }
}

/// Reads a payload written by a [`Writer`].
pub(crate) struct Reader<'a>(pub(crate) &'a [u8]);

impl Reader<'_> {
    pub(crate) fn value<T: DeserializeOwned>(&mut self) -> Result<T, DecodeError> {
        let (value, rest) =
            postcard::take_from_bytes(self.0).map_err(|_| DecodeError::Malformed)?;
        self.0 = rest;
        Ok(value)
    }

    pub(crate) fn list<T: DeserializeOwned>(&mut self) -> Result<Vec<T>, DecodeError> {
        let count: u8 = self.value()?;
        // Every item takes at least one byte, so a larger count is invalid; checked before anything is allocated.
        if usize::from(count) > self.0.len() {
            return Err(DecodeError::Malformed);
        }
        (0..count).map(|_| self.value()).collect()
    }

    /// Checks that no bytes are left: no version has trailing bytes.
    pub(crate) fn end(self) -> Result<(), DecodeError> {
        if self.0.is_empty() {
            Ok(())
        } else {
            Err(DecodeError::Malformed)
        }
    }
}
