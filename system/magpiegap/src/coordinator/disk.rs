//! The disk, on a thread of its own: all that waits is written with one sync.
use super::events::Event;
use magpiegap_control::{DurableRecord, DurableState};
use magpiegap_protocol::encode;
use magpiegap_storage::{FolderDirectory, Store, StoreError};
use std::{sync::mpsc, time::Duration};
use tokio::sync::mpsc::UnboundedSender;

/// Pause before work that the disk has refused is tried again.
const RETRY: Duration = Duration::from_millis(250);

/// Work for the disk.
pub(super) enum DiskWork {
    /// Add records.
    Records {
        /// Names the work.
        ticket: u64,
        /// The records.
        records: Vec<DurableRecord>,
    },
    /// Replace all that is kept.
    Checkpoint {
        /// Names the work.
        ticket: u64,
        /// What to keep.
        snapshot: Box<DurableState>,
    },
}

/// Starts the thread.
pub(super) fn start(
    store: Store<FolderDirectory>,
    events: UnboundedSender<Event>,
) -> mpsc::Sender<DiskWork> {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || work(store, &receiver, &events));
    sender
}

fn work(
    mut store: Store<FolderDirectory>,
    inbox: &mpsc::Receiver<DiskWork>,
    events: &UnboundedSender<Event>,
) {
    let mut next = inbox.recv().ok();
    while let Some(first) = next.take() {
        let ticket = match first {
            DiskWork::Checkpoint { ticket, snapshot } => {
                retry(|| store.checkpoint(snapshot.chunks()));
                ticket
            }
            DiskWork::Records { ticket, records } => {
                let mut bytes: Vec<Vec<u8>> = records.iter().map(encode).collect();
                let mut last = ticket;
                while let Ok(more) = inbox.try_recv() {
                    match more {
                        DiskWork::Records { ticket, records } => {
                            bytes.extend(records.iter().map(encode));
                            last = ticket;
                        }
                        checkpoint @ DiskWork::Checkpoint { .. } => {
                            next = Some(checkpoint);
                            break;
                        }
                    }
                }
                retry(|| store.append(&bytes));
                last
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

/// Does disk work until the disk takes it.
fn retry(mut work: impl FnMut() -> Result<(), StoreError>) {
    let mut told = false;
    while let Err(error) = work() {
        if !told {
            log::error!("{error}; it is tried again");
            told = true;
        }
        std::thread::sleep(RETRY);
    }
    if told {
        log::info!("the disk takes writes again");
    }
}
