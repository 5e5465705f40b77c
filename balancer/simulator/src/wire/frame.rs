//! Reads frames from a byte stream.
use super::bytes::u32_at;
use super::error::{HeaderError, WireError};
use std::io::Read;

/// Maximum size of a frame in bytes. A larger stated size is refused before anything is allocated for it.
pub const MAX_FRAME: usize = 256 << 20;
/// Size in bytes of the header of a frame from the simulator.
pub(super) const HEADER_SIZE: usize = 20;
/// Length in bytes of the size field at the start of a frame.
const SIZE_FIELD_LENGTH: usize = 4;
/// Maximum bytes per read, so that memory grows with the bytes received instead of the stated size.
const CHUNK_SIZE: usize = 1 << 20;

/// Reads one frame; `None` if the input ends before its first byte. `index` is the frame's position in the input,
/// counted from zero, for error messages.
///
/// # Errors
///
/// Returns an error if reading fails, the input ends inside the frame, or the stated size is out of range.
pub fn read_frame(input: &mut impl Read, index: u64) -> Result<Option<Vec<u8>>, WireError> {
    let mut frame = Vec::new();
    fill(input, &mut frame, SIZE_FIELD_LENGTH, index)?;
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
        return Err(WireError::Header {
            frame: index,
            source,
        });
    }
    fill(input, &mut frame, size, index)?;
    Ok(Some(frame))
}

/// Reads until `frame` has `wanted` bytes. Leaves it empty if the input ends before the first byte.
fn fill(
    input: &mut impl Read,
    frame: &mut Vec<u8>,
    wanted: usize,
    index: u64,
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
            frame: index,
            wanted,
            got: frame.len(),
        });
    }
    Ok(())
}
