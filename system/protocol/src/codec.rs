//! Encoding and decoding of messages as CBOR.
use minicbor::{Decode, Encode};

/// Why bytes can't be decoded as a message of the expected type.
#[derive(Debug, thiserror::Error)]
#[error("malformed message: {0}")]
pub struct DecodeError(#[from] minicbor::decode::Error);

/// Encodes a message as CBOR.
pub fn encode<T: Encode<()>>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing into a vector can't fail, and the encoders of this crate return no errors of their own.
    let written: Result<(), minicbor::encode::Error<std::convert::Infallible>> =
        minicbor::encode(message, &mut bytes);
    debug_assert!(written.is_ok());
    bytes
}

/// Decodes a message. Trailing bytes are ignored.
///
/// # Errors
/// When the bytes are truncated, malformed or encode another type.
pub fn decode<T: for<'b> Decode<'b, ()>>(bytes: &[u8]) -> Result<T, DecodeError> {
    Ok(minicbor::decode(bytes)?)
}
