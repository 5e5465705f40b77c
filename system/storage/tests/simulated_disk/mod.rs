//! An in-memory disk with fault injection, and the states that a power failure may leave.
use magpiegap_storage::{Directory, FileName};
use std::{cell::RefCell, collections::BTreeMap, io, rc::Rc};

/// The content of each file that exists.
pub(crate) type Files = BTreeMap<FileName, Vec<u8>>;

/// An operation of a simulated disk.
#[derive(Clone, Debug)]
pub(crate) enum DiskOperation {
    Overwrite(FileName, Vec<u8>),
    Write(FileName, u64, Vec<u8>),
    Truncate(FileName, u64),
    Sync(FileName),
}

/// The files of a simulated disk, and the operations that wrote them.
#[derive(Default)]
pub(crate) struct Recorder {
    pub(crate) files: Files,
    pub(crate) operations: Vec<DiskOperation>,
    /// Number of operations after which every further one fails, as on a full disk.
    pub(crate) full_after: Option<usize>,
    /// Number of syncs that fail, although their data has reached the disk.
    pub(crate) failing_syncs: usize,
}

/// A simulated disk that records its operations. Clones share the same disk.
#[derive(Clone, Default)]
pub(crate) struct SimulatedDisk(pub(crate) Rc<RefCell<Recorder>>);

fn apply(files: &mut Files, operation: &DiskOperation) {
    match operation {
        DiskOperation::Overwrite(file, bytes) => {
            files.insert(*file, bytes.clone());
        }
        DiskOperation::Write(file, offset, bytes) => {
            let content = files.entry(*file).or_default();
            let end = *offset as usize + bytes.len();
            if content.len() < end {
                content.resize(end, 0);
            }
            content[*offset as usize..end].copy_from_slice(bytes);
        }
        DiskOperation::Truncate(file, length) => {
            files.entry(*file).or_default().truncate(*length as usize)
        }
        DiskOperation::Sync(_) => {}
    }
}

impl SimulatedDisk {
    fn perform(&self, operation: DiskOperation) -> io::Result<()> {
        let mut recorder = self.0.borrow_mut();
        if recorder
            .full_after
            .is_some_and(|after| recorder.operations.len() >= after)
        {
            return Err(io::Error::other("no space left"));
        }
        apply(&mut recorder.files, &operation);
        recorder.operations.push(operation);
        Ok(())
    }
}

impl Directory for SimulatedDisk {
    fn read(&mut self, file: FileName) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.borrow().files.get(&file).cloned())
    }
    fn overwrite(&mut self, file: FileName, bytes: &[u8]) -> io::Result<()> {
        self.perform(DiskOperation::Overwrite(file, bytes.to_vec()))
    }
    fn write_at(&mut self, file: FileName, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.perform(DiskOperation::Write(file, offset, bytes.to_vec()))
    }
    fn truncate(&mut self, file: FileName, length: u64) -> io::Result<()> {
        self.perform(DiskOperation::Truncate(file, length))
    }
    fn sync(&mut self, file: FileName) -> io::Result<()> {
        {
            let mut recorder = self.0.borrow_mut();
            if recorder.failing_syncs > 0 {
                recorder.failing_syncs -= 1;
                return Err(io::Error::other("input/output error"));
            }
        }
        self.perform(DiskOperation::Sync(file))
    }
}

/// Possible results of an operation that was not synced: none, complete, or only the first half of its bytes.
fn possible_effects(operation: &DiskOperation) -> Vec<Option<DiskOperation>> {
    let torn = |bytes: &[u8]| bytes[..bytes.len() / 2].to_vec();
    match operation {
        DiskOperation::Overwrite(file, bytes) => {
            vec![
                None,
                Some(operation.clone()),
                Some(DiskOperation::Overwrite(*file, torn(bytes))),
            ]
        }
        DiskOperation::Write(file, offset, bytes) => {
            vec![
                None,
                Some(operation.clone()),
                Some(DiskOperation::Write(*file, *offset, torn(bytes))),
            ]
        }
        DiskOperation::Truncate(..) => vec![None, Some(operation.clone())],
        DiskOperation::Sync(_) => vec![Some(operation.clone())],
    }
}

fn file_of(operation: &DiskOperation) -> FileName {
    match operation {
        DiskOperation::Overwrite(file, _)
        | DiskOperation::Write(file, ..)
        | DiskOperation::Truncate(file, _)
        | DiskOperation::Sync(file) => *file,
    }
}

/// All states of the files that a power failure after `done` operations may leave.
pub(crate) fn files_after_crash(operations: &[DiskOperation], done: usize) -> Vec<Files> {
    let mut states = vec![BTreeMap::new()];
    for (position, operation) in operations[..done].iter().enumerate() {
        let later = &operations[position + 1..done];
        let synced = later
            .iter()
            .any(|other| matches!(other, DiskOperation::Sync(file) if *file == file_of(operation)));
        let choices = if synced {
            vec![Some(operation.clone())]
        } else {
            possible_effects(operation)
        };
        let mut next = Vec::new();
        for state in &states {
            for choice in &choices {
                let mut state: Files = state.clone();
                if let Some(operation) = choice {
                    apply(&mut state, operation);
                }
                next.push(state);
            }
        }
        states = next;
    }
    states
}
