//! Disk work on a thread of its own: all records that wait are written with one sync.
use super::events::Event;
use magpiegap_control::{DurableRecord, DurableState};
use magpiegap_protocol::encode;
use magpiegap_storage::{FolderDirectory, Store, StoreError};
use std::{sync::mpsc, thread::JoinHandle, time::Duration};
use tokio::sync::mpsc::UnboundedSender;

/// Delay before work that has failed is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Work for the disk.
pub(super) enum DiskWork {
    /// Append records.
    Records {
        /// Identifies the work.
        ticket: u64,
        /// The records.
        records: Vec<DurableRecord>,
    },
    /// Replace all that is saved.
    Checkpoint {
        /// Identifies the work.
        ticket: u64,
        /// What to save instead.
        snapshot: Box<DurableState>,
    },
}

/// The thread.
pub(super) struct DiskThread {
    /// Where its work goes.
    pub work: mpsc::Sender<DiskWork>,
    /// It ends when no more work can come, or nobody waits for its results.
    pub thread: JoinHandle<()>,
}

/// Starts the thread.
pub(super) fn start(store: Store<FolderDirectory>, events: UnboundedSender<Event>) -> DiskThread {
    let (work, receiver) = mpsc::channel();
    let thread = std::thread::spawn(move || run(store, &receiver, &events));
    DiskThread { work, thread }
}

fn run(
    mut store: Store<FolderDirectory>,
    inbox: &mpsc::Receiver<DiskWork>,
    events: &UnboundedSender<Event>,
) {
    let mut next = inbox.recv().ok();
    while let Some(work) = next.take() {
        let ticket = match work {
            DiskWork::Checkpoint { ticket, snapshot } => {
                retry(|| store.checkpoint(snapshot.chunks()));
                ticket
            }
            DiskWork::Records { ticket, records } => {
                let batch = Batch::collect(ticket, &records, inbox);
                retry(|| store.append(&batch.records));
                next = batch.next;
                batch.ticket
            }
        };
        if events.send(Event::Persisted(ticket)).is_err() {
            return;
        }
        if next.is_none() {
            next = inbox.recv().ok();
        }
    }
}

/// Records that are written with one sync.
struct Batch {
    /// The ticket of the last of them.
    ticket: u64,
    /// The records, encoded.
    records: Vec<Vec<u8>>,
    /// Work of another kind that came after them.
    next: Option<DiskWork>,
}

impl Batch {
    /// Adds all records that wait already, up to a checkpoint.
    fn collect(ticket: u64, records: &[DurableRecord], inbox: &mpsc::Receiver<DiskWork>) -> Batch {
        let mut batch = Batch {
            ticket,
            records: records.iter().map(encode).collect(),
            next: None,
        };
        while let Ok(work) = inbox.try_recv() {
            match work {
                DiskWork::Records { ticket, records } => {
                    batch.records.extend(records.iter().map(encode));
                    batch.ticket = ticket;
                }
                checkpoint @ DiskWork::Checkpoint { .. } => {
                    batch.next = Some(checkpoint);
                    break;
                }
            }
        }
        batch
    }
}

/// Does disk work until it succeeds. Logs the first failure only, and the recovery.
fn retry(mut work: impl FnMut() -> Result<(), StoreError>) {
    let mut has_failed = false;
    while let Err(error) = work() {
        if !has_failed {
            log::error!("{error}; it is tried again");
            has_failed = true;
        }
        std::thread::sleep(RETRY_DELAY);
    }
    if has_failed {
        log::info!("disk writes succeed again");
    }
}
