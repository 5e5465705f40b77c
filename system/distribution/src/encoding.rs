//! The encoding of a change of the configuration: CBOR, compressed with deflate (RFC 1951) where that pays.
use crate::ConfigurationChange;
use flate2::{read::DeflateDecoder, write::DeflateEncoder, Compression};
use magpiegap_protocol::{decode, encode, DecodeError};
use std::io::{Read, Write};

/// Shorter changes are not compressed, in bytes.
const MIN_COMPRESSED_BYTES: usize = 512;
/// Maximum length of a decompressed change, in bytes: the operator's interface accepts no longer body.
const MAX_DECOMPRESSED_BYTES: u64 = 64 << 20;
/// First byte of a change that is not compressed.
const PLAIN: u8 = 0;
/// First byte of a change that is compressed with deflate.
const DEFLATED: u8 = 1;

/// Why bytes can't be read as a change of the configuration.
#[derive(Debug, thiserror::Error)]
pub enum EncodingError {
    /// They are empty, or their first byte is not known.
    #[error("a change of the configuration in an unknown form")]
    UnknownForm,
    /// They can't be decompressed.
    #[error("a change of the configuration can't be decompressed: {0}")]
    Compression(#[from] std::io::Error),
    /// The decompressed bytes are malformed.
    #[error(transparent)]
    Content(#[from] DecodeError),
}

/// Encodes a change.
pub(crate) fn encode_change(change: &ConfigurationChange) -> Vec<u8> {
    let plain = encode(change);
    if plain.len() >= MIN_COMPRESSED_BYTES {
        if let Ok(compressed) = deflate(&plain) {
            return compressed;
        }
    }
    [&[PLAIN], plain.as_slice()].concat()
}

fn deflate(plain: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(vec![DEFLATED], Compression::fast());
    encoder.write_all(plain)?;
    encoder.finish()
}

/// Decodes a change.
pub(crate) fn decode_change(bytes: &[u8]) -> Result<ConfigurationChange, EncodingError> {
    match bytes.split_first() {
        Some((&PLAIN, plain)) => Ok(decode(plain)?),
        Some((&DEFLATED, compressed)) => {
            let mut plain = Vec::new();
            DeflateDecoder::new(compressed)
                .take(MAX_DECOMPRESSED_BYTES)
                .read_to_end(&mut plain)?;
            Ok(decode(&plain)?)
        }
        _ => Err(EncodingError::UnknownForm),
    }
}
