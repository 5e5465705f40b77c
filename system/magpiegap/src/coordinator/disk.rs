//! Writes to disk on a dedicated thread. All queued records are written with one sync.
use super::events::Event;
use magpiegap_control::{DurableRecord, DurableState};
use magpiegap_protocol::encode;
use magpiegap_storage::{FolderDirectory, Store, StoreError};
use std::{sync::mpsc, thread::JoinHandle, time::Duration};
use tokio::sync::mpsc::UnboundedSender;

/// Delay before failed work is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Work for the disk thread.
pub(super) enum DiskWork {
    /// Appends records to the log.
    Records {
        /// Identifies the work in the confirmation.
        ticket: u64,
        /// The records to append.
        records: Vec<DurableRecord>,
    },
    /// Replaces the complete state on disk.
    Checkpoint {
        /// Identifies the work in the confirmation.
        ticket: u64,
        /// The new state.
        snapshot: Box<DurableState>,
    },
}

/// Handle to the disk thread.
pub(super) struct DiskThread {
    /// Queue of the work.
    pub work: mpsc::Sender<DiskWork>,
    /// Ends when the senders of work or the receiver of confirmations are dropped.
    pub thread: JoinHandle<()>,
}

/// Starts the disk thread.
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
    /// The ticket of the last work item in the batch.
    ticket: u64,
    /// The encoded records.
    records: Vec<Vec<u8>>,
    /// A checkpoint that was queued after the records.
    next: Option<DiskWork>,
}

impl Batch {
    /// Collects all records that are already queued, up to the next checkpoint.
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

/// Retries disk work until it succeeds. Logs only the first failure, and the recovery.
fn retry(mut work: impl FnMut() -> Result<(), StoreError>) {
    let mut has_failed = false;
    while let Err(error) = work() {
        if !has_failed {
            log::error!("disk write failed, retrying error={error}");
            has_failed = true;
        }
        std::thread::sleep(RETRY_DELAY);
    }
    if has_failed {
        log::info!("disk writes succeed again");
    }
}
