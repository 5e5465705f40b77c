//! The encoding of slots and logs. The `store` module decides when they are written and which of them are valid.
//!
//! Slot: magic number, generation, length of the content, checksum over generation and content; then the content, which
//! is the snapshot's chunks, each prefixed with its length. (In version 1 of the format the content is one snapshot
//! that is not divided into chunks; it is still read, as a single chunk.)
//!
//! Log: magic number, generation, checksum over both; then records, each prefixed with its length and a checksum over
//! generation and record.
//!
//! Numbers are little-endian; checksums are CRC-32.
use crate::generation::Generation;

/// Magic number of a slot; the last byte is the version of the format.
const SLOT_MAGIC: &[u8; 8] = b"mgslot\0\x02";
/// Magic number of a slot in version 1 of the format.
const SLOT_MAGIC_V1: &[u8; 8] = b"mgslot\0\x01";
/// Magic number of a log; the last byte is the version of the format.
const LOG_MAGIC: &[u8; 8] = b"mglog\0\0\x01";

/// Length of a magic number, in bytes.
const MAGIC_BYTES: usize = 8;
/// Offset of the generation in a slot and a log.
const GENERATION_OFFSET: usize = MAGIC_BYTES;
/// Offset of the length in a slot.
const SLOT_LENGTH_OFFSET: usize = GENERATION_OFFSET + 8;
/// Offset of the checksum in a slot.
const SLOT_CHECKSUM_OFFSET: usize = SLOT_LENGTH_OFFSET + 8;
/// Length of a slot's header, in bytes.
const SLOT_HEADER_BYTES: usize = SLOT_CHECKSUM_OFFSET + 4;
/// Length of a log's header, in bytes.
pub(crate) const LOG_HEADER_BYTES: usize = GENERATION_OFFSET + 8 + 4;
/// Size of the length and checksum before each record, in bytes.
const RECORD_HEADER_BYTES: usize = 4 + 4;
/// Size of the length before each chunk, in bytes.
const CHUNK_HEADER_BYTES: usize = 4;

fn checksum(generation: Generation, bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&generation.to_le_bytes());
    hasher.update(bytes);
    hasher.finalize()
}

/// The bytes of a number at an offset; `None` if they extend beyond the end.
fn bytes_at<const N: usize>(bytes: &[u8], offset: usize) -> Option<[u8; N]> {
    let end = offset.checked_add(N)?;
    bytes.get(offset..end)?.try_into().ok()
}

fn u32_at(bytes: &[u8], offset: usize) -> Option<u32> {
    bytes_at(bytes, offset).map(u32::from_le_bytes)
}

fn u64_at(bytes: &[u8], offset: usize) -> Option<u64> {
    bytes_at(bytes, offset).map(u64::from_le_bytes)
}

/// Builds the header of a slot while its chunks are added one by one.
pub(crate) struct SlotHeader {
    generation: Generation,
    /// Length of the content so far, in bytes.
    length: u64,
    checksum: crc32fast::Hasher,
}

/// A chunk encoded for writing to a slot.
pub(crate) struct EncodedChunk {
    /// Offset from the start of the slot, in bytes.
    pub(crate) offset: u64,
    pub(crate) bytes: Vec<u8>,
}

impl SlotHeader {
    /// The header of a slot without chunks.
    pub(crate) fn new(generation: Generation) -> SlotHeader {
        let mut checksum = crc32fast::Hasher::new();
        checksum.update(&generation.to_le_bytes());
        SlotHeader {
            generation,
            length: 0,
            checksum,
        }
    }

    /// Adds a chunk to the length and the checksum, and encodes it.
    pub(crate) fn add(&mut self, chunk: &[u8]) -> EncodedChunk {
        let mut bytes = Vec::with_capacity(CHUNK_HEADER_BYTES + chunk.len());
        bytes.extend_from_slice(&(chunk.len() as u32).to_le_bytes());
        bytes.extend_from_slice(chunk);
        self.checksum.update(&bytes);
        let offset = SLOT_HEADER_BYTES as u64 + self.length;
        self.length += bytes.len() as u64;
        EncodedChunk { offset, bytes }
    }

    /// Encodes the header. The slot becomes valid once the header is written.
    pub(crate) fn finish(self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(SLOT_HEADER_BYTES);
        bytes.extend_from_slice(SLOT_MAGIC);
        bytes.extend_from_slice(&self.generation.to_le_bytes());
        bytes.extend_from_slice(&self.length.to_le_bytes());
        bytes.extend_from_slice(&self.checksum.finalize().to_le_bytes());
        bytes
    }
}

/// The content of a slot.
pub(crate) struct Slot {
    pub(crate) generation: Generation,
    /// Chunks of the snapshot.
    pub(crate) chunks: Vec<Vec<u8>>,
}

/// Reads a slot; `None` if it is incomplete or damaged.
pub(crate) fn read_slot(bytes: &[u8]) -> Option<Slot> {
    let magic = bytes.get(..MAGIC_BYTES)?;
    if magic != SLOT_MAGIC && magic != SLOT_MAGIC_V1 {
        return None;
    }
    let generation = Generation(u64_at(bytes, GENERATION_OFFSET)?);
    let length = usize::try_from(u64_at(bytes, SLOT_LENGTH_OFFSET)?).ok()?;
    let expected = u32_at(bytes, SLOT_CHECKSUM_OFFSET)?;
    let end = SLOT_HEADER_BYTES.checked_add(length)?;
    let content = bytes.get(SLOT_HEADER_BYTES..end)?;
    if checksum(generation, content) != expected {
        return None;
    }
    let chunks = if magic == SLOT_MAGIC {
        split_chunks(content)?
    } else {
        vec![content.to_vec()]
    };
    Some(Slot { generation, chunks })
}

fn split_chunks(content: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut chunks = Vec::new();
    let mut offset = 0;
    while offset < content.len() {
        let length = u32_at(content, offset)? as usize;
        let start = offset.checked_add(CHUNK_HEADER_BYTES)?;
        let end = start.checked_add(length)?;
        chunks.push(content.get(start..end)?.to_vec());
        offset = end;
    }
    Some(chunks)
}

/// Encodes a log without records.
pub(crate) fn empty_log(generation: Generation) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(LOG_HEADER_BYTES);
    bytes.extend_from_slice(LOG_MAGIC);
    bytes.extend_from_slice(&generation.to_le_bytes());
    bytes.extend_from_slice(&checksum(generation, LOG_MAGIC).to_le_bytes());
    bytes
}

/// The generation of a log; `None` if its header is incomplete or damaged.
pub(crate) fn log_generation(bytes: &[u8]) -> Option<Generation> {
    let generation = Generation(u64_at(bytes, GENERATION_OFFSET)?);
    let header = bytes.get(..LOG_HEADER_BYTES)?;
    (header == empty_log(generation)).then_some(generation)
}

/// Appends an encoded record to `bytes`.
pub(crate) fn push_record(bytes: &mut Vec<u8>, generation: Generation, record: &[u8]) {
    bytes.extend_from_slice(&(record.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(generation, record).to_le_bytes());
    bytes.extend_from_slice(record);
}

/// The valid content of a log.
pub(crate) struct Log {
    /// Records before the first one that is incomplete or damaged.
    pub(crate) records: Vec<Vec<u8>>,
    /// Offset after the last valid record, in bytes.
    pub(crate) end: usize,
}

/// Reads a log; `None` if it belongs to another generation or its header is invalid.
pub(crate) fn read_log(generation: Generation, bytes: &[u8]) -> Option<Log> {
    if log_generation(bytes)? != generation {
        return None;
    }
    let mut records = Vec::new();
    let mut end = LOG_HEADER_BYTES;
    while let Some(record) = read_record(generation, bytes, end) {
        records.push(record.to_vec());
        end += RECORD_HEADER_BYTES + record.len();
    }
    Some(Log { records, end })
}

fn read_record(generation: Generation, bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let length = u32_at(bytes, offset)? as usize;
    let expected = u32_at(bytes, offset + 4)?;
    let start = offset.checked_add(RECORD_HEADER_BYTES)?;
    let end = start.checked_add(length)?;
    let record = bytes.get(start..end)?;
    (checksum(generation, record) == expected).then_some(record)
}
