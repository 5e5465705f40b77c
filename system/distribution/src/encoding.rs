//! The encoding of a configuration change: CBOR, compressed with deflate (RFC 1951) from [`MIN_COMPRESSED_BYTES`] on.
use crate::ConfigurationChange;
use flate2::{read::DeflateDecoder, write::DeflateEncoder, Compression};
use magpiegap_protocol::{decode, encode, DecodeError};
use std::io::{Read, Write};

/// Minimum length of a change that is compressed, in bytes.
const MIN_COMPRESSED_BYTES: usize = 512;
/// Maximum length of a decompressed change, in bytes. The operator interface accepts no longer body.
const MAX_DECOMPRESSED_BYTES: u64 = 64 << 20;
/// First byte of an uncompressed change.
const PLAIN: u8 = 0;
/// First byte of a change that is compressed with deflate.
const DEFLATED: u8 = 1;

/// Why bytes can't be decoded as a configuration change.
#[derive(Debug, thiserror::Error)]
pub enum EncodingError {
    /// The bytes are empty, or the first byte is unknown.
    #[error("configuration change has an unknown encoding")]
    UnknownForm,
    /// The bytes can't be decompressed.
    #[error("can't decompress configuration change: {0}")]
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
