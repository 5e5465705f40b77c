//! Opens or reinitializes a coordinator's state on disk.
use super::events::Event;
use crate::{error::ProgramError, settings::NodeSettings, signals::Signals};
use magpiegap_control::DurableState;
use magpiegap_coordinator::{take_snapshot, Machine};
use magpiegap_protocol::{CoordinatorResponse, Member, ViewNumber};
use magpiegap_storage::{FolderDirectory, Store};
use rand::Rng;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;

/// Delay before the first retry of a failed open; it doubles with each retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum delay between retries.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// The state of a coordinator, loaded from disk.
pub(super) struct OpenedState {
    /// Store for further writes.
    pub store: Store<FolderDirectory>,
    /// The recovered durable state.
    pub durable: DurableState,
    /// The state machine, restored from the snapshot.
    pub machine: Machine,
}

/// Opens the state on disk, and retries until that succeeds. An unreadable disk is never treated as an empty one. All
/// requests are rejected meanwhile, so that callers try another coordinator; a process that exits instead could not
/// respond. `None` if SIGTERM was received meanwhile.
pub(super) async fn open_when_readable(
    settings: &NodeSettings,
    inbox: &mut UnboundedReceiver<Event>,
    signals: &mut Signals,
) -> Option<OpenedState> {
    open_with(open, settings, inbox, signals).await
}

/// Erases a disk that was found to be an outdated copy, and opens it with a new identity, so that this machine rejoins as
/// a new member without state. Retries until that succeeds, as [`open_when_readable`] does.
pub(super) async fn erase_when_writable(
    settings: &NodeSettings,
    inbox: &mut UnboundedReceiver<Event>,
    signals: &mut Signals,
) -> Option<OpenedState> {
    open_with(open_erased, settings, inbox, signals).await
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
                    log::error!(
                        "cannot open the state on disk, inactive until it succeeds error={fault}"
                    );
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

/// Rejects requests and discards all other events until the event queue is closed.
pub(super) async fn reject_requests(inbox: &mut UnboundedReceiver<Event>) {
    while let Some(event) = inbox.recv().await {
        reject_request(event);
    }
}

/// Rejects the request if the event is one, with the response that this coordinator is not serving.
pub(super) fn reject_request(event: Event) {
    if let Event::Request { response, .. } = event {
        let _ = response.send(CoordinatorResponse::NotServing);
    }
}

/// Loads the state on disk. An empty disk gets a new identity, unless a new cluster is being started.
fn open(settings: &NodeSettings) -> Result<OpenedState, ProgramError> {
    let (store, recovered) = Store::open(data_folder(settings)?)?;
    let durable = match recovered.snapshot {
        Some(chunks) => DurableState::recover(chunks, &recovered.records)?,
        None if settings.bootstrap => bootstrap_state(settings),
        None => empty_state_with_new_identity(),
    };
    recover_machine(store, durable)
}

/// Replaces the state on disk by an empty one with a new identity.
fn open_erased(settings: &NodeSettings) -> Result<OpenedState, ProgramError> {
    let (mut store, _) = Store::open(data_folder(settings)?)?;
    let durable = empty_state_with_new_identity();
    store.checkpoint(durable.chunks())?;
    recover_machine(store, durable)
}

fn data_folder(settings: &NodeSettings) -> Result<FolderDirectory, ProgramError> {
    let folder = settings
        .data_dir
        .clone()
        .unwrap_or_else(|| std::env::temp_dir().join("magpiegap"));
    FolderDirectory::new(&folder).map_err(|source| ProgramError::System {
        context: "the data folder",
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

/// The initial state of a disk when a new cluster is started. The seeds are its voters.
fn bootstrap_state(settings: &NodeSettings) -> DurableState {
    let voter = |address: u32| Member { address, disk: 0 };
    let mut voters: Vec<Member> = settings.seed_addresses().into_iter().map(voter).collect();
    voters.sort_unstable();
    voters.dedup();
    let state = take_snapshot(&magpiegap_jobs::State::default());
    DurableState::empty(0, Some(ViewNumber(0)), voters, state)
}

/// An empty state with a new identity. A disk without state has lost the votes that it cast, so that its machine must not
/// vote as the same member again and rejoins as a new one.
fn empty_state_with_new_identity() -> DurableState {
    let disk = rand::thread_rng().gen::<u64>().max(1);
    let state = take_snapshot(&magpiegap_jobs::State::default());
    DurableState::empty(disk, None, Vec::new(), state)
}
