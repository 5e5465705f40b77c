//! A simulated disk in memory.
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex};

/// An operation on a disk.
#[derive(Clone, Debug)]
pub(crate) enum Op {
    Write(u64, Vec<u8>),
    Length(u64),
    Sync,
}

pub(crate) fn apply(image: &mut Vec<u8>, op: &Op) {
    match op {
        Op::Write(at, bytes) => {
            let (at, end) = (*at as usize, *at as usize + bytes.len());
            image.resize(image.len().max(end), 0);
            image[at..end].copy_from_slice(bytes);
        }
        Op::Length(length) => image.resize(*length as usize, 0),
        Op::Sync => {}
    }
}

/// A disk in memory that records all operations, and fails while it is full.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk(pub(crate) Arc<Mutex<DiskState>>);

#[derive(Debug, Default)]
pub(crate) struct DiskState {
    pub(crate) image: Vec<u8>,
    pub(crate) ops: Vec<Op>,
    /// Whether writes, changes of length and syncs fail.
    pub(crate) full: bool,
}

impl Disk {
    pub(crate) fn of(image: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(DiskState {
            image,
            ..DiskState::default()
        })))
    }

    pub(crate) fn perform(&self, op: Op) -> io::Result<()> {
        let mut state = self.0.lock().expect("no panic");
        if state.full {
            return Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "no space is left",
            ));
        }
        apply(&mut state.image, &op);
        state.ops.push(op);
        Ok(())
    }

    pub(crate) fn position(&self) -> usize {
        self.0.lock().expect("no panic").ops.len()
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().expect("no panic").image.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.0.lock().expect("no panic");
        let from = state
            .image
            .get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(from.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        self.perform(Op::Length(len))
    }
    fn sync_data(&self) -> io::Result<()> {
        self.perform(Op::Sync)
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.perform(Op::Write(offset, data.to_vec()))
    }
}
