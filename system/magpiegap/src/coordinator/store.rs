//! Opens a coordinator's state on disk at the start.
use super::events::Event;
use crate::{error::ProgramError, settings::NodeSettings, signals::Signals};
use magpiegap_control::DurableState;
use magpiegap_coordinator::{take_snapshot, Machine};
use magpiegap_protocol::{CoordinatorResponse, Member, ViewNumber};
use magpiegap_storage::{FolderDirectory, Store};
use rand::Rng;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;

/// Backoff before files that could not be read are tried again; twice as long each time ...
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// ... up to this.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// What was found on disk.
pub(super) struct OpenedState {
    /// Where more is saved.
    pub store: Store<FolderDirectory>,
    /// What was saved.
    pub durable: DurableState,
    /// The state in it.
    pub machine: Machine,
}

/// Opens the state on disk. While it can't be read all requests are rejected so that another coordinator is asked: a
/// process that ended could not say so, and a disk that can't be read is never taken for an empty one. `None`: the process
/// was told to end meanwhile.
pub(super) async fn open_when_readable(
    settings: &NodeSettings,
    inbox: &mut UnboundedReceiver<Event>,
    signals: &mut Signals,
) -> Option<OpenedState> {
    open_with(open, settings, inbox, signals).await
}

/// Empties a disk that was found to be an old copy, and opens it: this machine goes on as another member, which knows
/// nothing. Tried until it succeeds, as in [`open_when_readable`].
pub(super) async fn empty_when_writable(
    settings: &NodeSettings,
    inbox: &mut UnboundedReceiver<Event>,
    signals: &mut Signals,
) -> Option<OpenedState> {
    open_with(open_emptied, settings, inbox, signals).await
}

async fn open_with(
    open: fn(&NodeSettings) -> Result<OpenedState, ProgramError>,
    settings: &NodeSettings,
    inbox: &mut UnboundedReceiver<Event>,
    signals: &mut Signals,
) -> Option<OpenedState> {
    let mut backoff = INITIAL_BACKOFF;
    let mut last_logged = String::new();
    loop {
        match open(settings) {
            Ok(opened) => return Some(opened),
            Err(error) => {
                let fault = error.to_string();
                if fault != last_logged {
                    log::error!("{fault}; this coordinator takes no part until that is mended");
                    last_logged = fault;
                }
            }
        }
        tokio::select! {
            _ = signals.terminate.recv() => return None,
            () = reject_requests(inbox) => return None,
            () = tokio::time::sleep(backoff) => backoff = (2 * backoff).min(MAX_BACKOFF),
        }
    }
}

/// Responds to requests that this coordinator can't serve them; ends when no more can come. All other events are void.
pub(super) async fn reject_requests(inbox: &mut UnboundedReceiver<Event>) {
    while let Some(event) = inbox.recv().await {
        reject_request(event);
    }
}

/// Responds to an event that is a request that this coordinator can't serve it.
pub(super) fn reject_request(event: Event) {
    if let Event::Request { response, .. } = event {
        let _ = response.send(CoordinatorResponse::NotServing);
    }
}

/// Reads the state on disk. An empty disk gets an identity of its own, unless the entire system starts for the first time.
fn open(settings: &NodeSettings) -> Result<OpenedState, ProgramError> {
    let (store, recovered) = Store::open(data_folder(settings)?)?;
    let durable = match recovered.snapshot {
        Some(chunks) => DurableState::recover(chunks, &recovered.records)?,
        None if settings.bootstrap => first_state(settings),
        None => state_of_lost_disk(),
    };
    recover_machine(store, durable)
}

/// Replaces the state on disk by that of an empty one with an identity of its own.
fn open_emptied(settings: &NodeSettings) -> Result<OpenedState, ProgramError> {
    let (mut store, _) = Store::open(data_folder(settings)?)?;
    let durable = state_of_lost_disk();
    store.checkpoint(durable.chunks())?;
    recover_machine(store, durable)
}

fn data_folder(settings: &NodeSettings) -> Result<FolderDirectory, ProgramError> {
    let folder = settings
        .data_dir
        .clone()
        .unwrap_or_else(|| std::env::temp_dir().join("magpiegap"));
    FolderDirectory::new(&folder).map_err(|source| ProgramError::System {
        what: "the data folder",
        source,
    })
}

fn recover_machine(
    store: Store<FolderDirectory>,
    durable: DurableState,
) -> Result<OpenedState, ProgramError> {
    let machine = Machine::recover(&durable)?;
    Ok(OpenedState {
        store,
        durable,
        machine,
    })
}

/// The state of a disk at the first start of the entire system.
fn first_state(settings: &NodeSettings) -> DurableState {
    let voter = |address: u32| Member { address, disk: 0 };
    let mut voters: Vec<Member> = settings.seed_addresses().into_iter().map(voter).collect();
    voters.sort_unstable();
    voters.dedup();
    let state = take_snapshot(&magpiegap_jobs::State::default());
    DurableState::empty(0, Some(ViewNumber(0)), voters, state)
}

/// The state of a disk that was lost: it has forgotten its votes, so it comes back as another member, and knows nothing.
fn state_of_lost_disk() -> DurableState {
    let disk = rand::thread_rng().gen::<u64>().max(1);
    let state = take_snapshot(&magpiegap_jobs::State::default());
    DurableState::empty(disk, None, Vec::new(), state)
}
