//! Reads frames from the pipe. Owns no state.
use super::bytes::u32_at;
use super::error::{HeaderError, WireError};
use std::io::Read;

/// Largest frame accepted, in bytes; a stated size beyond it is an error, not an allocation.
pub const MAX_FRAME: usize = 256 << 20;
/// Bytes of the header of a frame from the simulator.
pub(super) const HEADER_SIZE: usize = 20;
/// Bytes of the size that a frame begins with.
const SIZE_LENGTH: usize = 4;
/// Bytes of a frame that are taken from the pipe at once, so that memory follows what arrives.
const CHUNK_SIZE: usize = 1 << 20;

/// Reads one frame; `None` at a clean end of input. `batch` counts frames from zero, for errors only.
///
/// # Errors
///
/// The pipe failed, the input ended inside the frame, or its size is none that a frame can have.
pub fn read_frame(input: &mut impl Read, batch: u64) -> Result<Option<Vec<u8>>, WireError> {
    let mut frame = Vec::new();
    fill(input, &mut frame, SIZE_LENGTH, batch)?;
    if frame.is_empty() {
        return Ok(None);
    }
    let size = u32_at(&frame, 0) as usize;
    if !(HEADER_SIZE..=MAX_FRAME).contains(&size) {
        let source = HeaderError::SizeOutOfRange {
            size,
            min: HEADER_SIZE,
            max: MAX_FRAME,
        };
        return Err(WireError::Header { batch, source });
    }
    fill(input, &mut frame, size, batch)?;
    Ok(Some(frame))
}

/// Extends `frame` to `wanted` bytes. An end of input before the first byte leaves it empty.
fn fill(
    input: &mut impl Read,
    frame: &mut Vec<u8>,
    wanted: usize,
    batch: u64,
) -> Result<(), WireError> {
    while frame.len() < wanted {
        let chunk = (wanted - frame.len()).min(CHUNK_SIZE) as u64;
        let got = input
            .take(chunk)
            .read_to_end(frame)
            .map_err(WireError::Io)?;
        if got > 0 {
            continue;
        }
        if frame.is_empty() {
            return Ok(());
        }
        return Err(WireError::Truncated {
            batch,
            wanted,
            got: frame.len(),
        });
    }
    Ok(())
}
