//! The bytes of slots and logs.
//!
//! A slot: magic, generation, length and checksum of the snapshot, the snapshot. A log: magic, generation, checksum
//! of both, then records, each with its length and a checksum over generation and record. Numbers are little-endian.

/// First bytes of a slot; the last one counts the versions of the format.
const SLOT_MAGIC: &[u8; 8] = b"mgslot\0\x01";
/// First bytes of a log; the last one counts the versions of the format.
const LOG_MAGIC: &[u8; 8] = b"mglog\0\0\x01";
const SLOT_HEADER: usize = 8 + 8 + 8 + 4;
/// Length of a log's header.
pub(crate) const LOG_HEADER: usize = 8 + 8 + 4;
const RECORD_HEADER: usize = 4 + 4;

fn checksum(generation: u64, bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&generation.to_le_bytes());
    hasher.update(bytes);
    hasher.finalize()
}

fn number<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at.checked_add(N)?)?.try_into().ok()
}

/// A slot's bytes.
pub(crate) fn slot(generation: u64, snapshot: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(SLOT_HEADER + snapshot.len());
    bytes.extend_from_slice(SLOT_MAGIC);
    bytes.extend_from_slice(&generation.to_le_bytes());
    bytes.extend_from_slice(&(snapshot.len() as u64).to_le_bytes());
    bytes.extend_from_slice(&checksum(generation, snapshot).to_le_bytes());
    bytes.extend_from_slice(snapshot);
    bytes
}

/// Reads a slot; `None` when it isn't whole.
pub(crate) fn read_slot(bytes: &[u8]) -> Option<(u64, &[u8])> {
    if bytes.get(..8)? != SLOT_MAGIC {
        return None;
    }
    let generation = u64::from_le_bytes(number(bytes, 8)?);
    let length = usize::try_from(u64::from_le_bytes(number(bytes, 16)?)).ok()?;
    let expected = u32::from_le_bytes(number(bytes, 24)?);
    let snapshot = bytes.get(SLOT_HEADER..SLOT_HEADER.checked_add(length)?)?;
    (checksum(generation, snapshot) == expected).then_some((generation, snapshot))
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
