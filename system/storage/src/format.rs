//! The bytes of slots and logs.
//!
//! A slot: magic, generation, length and checksum of the rest, then the parts of the snapshot, each with its length. (In the
//! first version of the format the rest was a snapshot in one piece; it is still read, as one part.) A log: magic, generation, checksum
//! of both, then records, each with its length and a checksum over generation and record. Numbers are little-endian.

/// First bytes of a slot; the last one counts the versions of the format.
const SLOT_MAGIC: &[u8; 8] = b"mgslot\0\x02";
/// First bytes of a slot whose snapshot is in one piece.
const SLOT_MAGIC_1: &[u8; 8] = b"mgslot\0\x01";
/// First bytes of a log; the last one counts the versions of the format.
const LOG_MAGIC: &[u8; 8] = b"mglog\0\0\x01";
/// Length of a slot's header.
pub(crate) const SLOT_HEADER: usize = 8 + 8 + 8 + 4;
/// Length of a log's header.
pub(crate) const LOG_HEADER: usize = 8 + 8 + 4;
const RECORD_HEADER: usize = 4 + 4;
const PART_HEADER: usize = 4;

fn checksum(generation: u64, bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&generation.to_le_bytes());
    hasher.update(bytes);
    hasher.finalize()
}

fn number<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at.checked_add(N)?)?.try_into().ok()
}

/// The header of a slot whose parts are added one by one.
pub(crate) struct SlotHeader {
    generation: u64,
    length: u64,
    checksum: crc32fast::Hasher,
}

impl SlotHeader {
    /// The header of a slot without parts.
    pub(crate) fn new(generation: u64) -> SlotHeader {
        let mut checksum = crc32fast::Hasher::new();
        checksum.update(&generation.to_le_bytes());
        SlotHeader {
            generation,
            length: 0,
            checksum,
        }
    }

    /// Adds a part. Returns its bytes in the slot, and where they go.
    pub(crate) fn add(&mut self, part: &[u8]) -> (u64, Vec<u8>) {
        let mut bytes = Vec::with_capacity(PART_HEADER + part.len());
        bytes.extend_from_slice(&(part.len() as u32).to_le_bytes());
        bytes.extend_from_slice(part);
        self.checksum.update(&bytes);
        let place = SLOT_HEADER as u64 + self.length;
        self.length += bytes.len() as u64;
        (place, bytes)
    }

    /// The header's bytes: with them the slot is whole.
    pub(crate) fn finish(self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(SLOT_HEADER);
        bytes.extend_from_slice(SLOT_MAGIC);
        bytes.extend_from_slice(&self.generation.to_le_bytes());
        bytes.extend_from_slice(&self.length.to_le_bytes());
        bytes.extend_from_slice(&self.checksum.finalize().to_le_bytes());
        bytes
    }
}

/// Reads a slot: its generation and the parts of its snapshot; `None` when it isn't whole.
pub(crate) fn read_slot(bytes: &[u8]) -> Option<(u64, Vec<Vec<u8>>)> {
    let magic = bytes.get(..8)?;
    if magic != SLOT_MAGIC && magic != SLOT_MAGIC_1 {
        return None;
    }
    let generation = u64::from_le_bytes(number(bytes, 8)?);
    let length = usize::try_from(u64::from_le_bytes(number(bytes, 16)?)).ok()?;
    let expected = u32::from_le_bytes(number(bytes, 24)?);
    let content = bytes.get(SLOT_HEADER..SLOT_HEADER.checked_add(length)?)?;
    if checksum(generation, content) != expected {
        return None;
    }
    let parts = if magic == SLOT_MAGIC {
        split_parts(content)?
    } else {
        vec![content.to_vec()]
    };
    Some((generation, parts))
}

fn split_parts(content: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut parts = Vec::new();
    let mut at = 0;
    while at < content.len() {
        let length = u32::from_le_bytes(number(content, at)?) as usize;
        let end = at.checked_add(PART_HEADER)?.checked_add(length)?;
        parts.push(content.get(at + PART_HEADER..end)?.to_vec());
        at = end;
    }
    Some(parts)
}

/// The bytes of a log without records.
pub(crate) fn empty_log(generation: u64) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(LOG_HEADER);
    bytes.extend_from_slice(LOG_MAGIC);
    bytes.extend_from_slice(&generation.to_le_bytes());
    bytes.extend_from_slice(&checksum(generation, LOG_MAGIC).to_le_bytes());
    bytes
}

/// The generation of a log; `None` when its header isn't whole.
pub(crate) fn log_generation(bytes: &[u8]) -> Option<u64> {
    let generation = u64::from_le_bytes(number(bytes, 8)?);
    (bytes.get(..LOG_HEADER)? == empty_log(generation)).then_some(generation)
}

/// Adds a record to bytes that go to the end of a log.
pub(crate) fn push_record(bytes: &mut Vec<u8>, generation: u64, record: &[u8]) {
    bytes.extend_from_slice(&(record.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(generation, record).to_le_bytes());
    bytes.extend_from_slice(record);
}

/// The whole records of a log and where they end; `None` when it isn't the log of this generation.
pub(crate) fn read_log(generation: u64, bytes: &[u8]) -> Option<(Vec<Vec<u8>>, usize)> {
    if bytes.get(..LOG_HEADER)? != empty_log(generation) {
        return None;
    }
    let mut records = Vec::new();
    let mut at = LOG_HEADER;
    while let Some((record, end)) = read_record(generation, bytes, at) {
        records.push(record);
        at = end;
    }
    Some((records, at))
}

fn read_record(generation: u64, bytes: &[u8], at: usize) -> Option<(Vec<u8>, usize)> {
    let length = u32::from_le_bytes(number(bytes, at)?) as usize;
    let expected = u32::from_le_bytes(number(bytes, at + 4)?);
    let end = at.checked_add(RECORD_HEADER)?.checked_add(length)?;
    let record = bytes.get(at + RECORD_HEADER..end)?;
    (checksum(generation, record) == expected).then(|| (record.to_vec(), end))
}
