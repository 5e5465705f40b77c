//! The encoded form of a change of the configuration: `minicbor`, compressed where that pays.
use crate::ConfigurationChange;
use flate2::{read::DeflateDecoder, write::DeflateEncoder, Compression};
use magpiegap_protocol::{decode, encode, DecodeError};
use std::io::{Read, Write};

/// Shorter changes are sent as they are.
const COMPRESSED_FROM: usize = 512;
/// No change is longer than this when it is decompressed, in bytes: the operator's interface takes no longer one.
const MOST_BYTES: u64 = 64 << 20;
/// First byte of a change that is sent as it is.
const PLAIN: u8 = 0;
/// First byte of a change that is compressed with deflate.
const DEFLATED: u8 = 1;

/// Bytes that are no change of the configuration.
#[derive(Debug, thiserror::Error)]
pub enum EncodingError {
    /// They are empty, or begin with a byte that stands for no form.
    #[error("a change of the configuration in an unknown form")]
    UnknownForm,
    /// They can't be decompressed.
    #[error("a change of the configuration can't be decompressed: {0}")]
    Compression(#[from] std::io::Error),
    /// What is in them can't be read.
    #[error(transparent)]
    Content(#[from] DecodeError),
}

/// The encoded form of a change.
pub(crate) fn encode_change(change: &ConfigurationChange) -> Vec<u8> {
    let plain = encode(change);
    if plain.len() >= COMPRESSED_FROM {
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

/// Reads a change.
pub(crate) fn decode_change(bytes: &[u8]) -> Result<ConfigurationChange, EncodingError> {
    match bytes.split_first() {
        Some((&PLAIN, plain)) => Ok(decode(plain)?),
        Some((&DEFLATED, compressed)) => {
            let mut plain = Vec::new();
            DeflateDecoder::new(compressed)
                .take(MOST_BYTES)
                .read_to_end(&mut plain)?;
            Ok(decode(&plain)?)
        }
        _ => Err(EncodingError::UnknownForm),
    }
}
