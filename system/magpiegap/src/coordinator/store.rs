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

/// Pause before files that could not be read are tried again; twice as long each time ...
const FIRST_RETRY: Duration = Duration::from_millis(250);
/// ... up to this.
const LONGEST_RETRY: Duration = Duration::from_secs(10);

/// What was found on disk.
pub(super) struct Opened {
    /// Where more is kept.
    pub store: Store<FolderDirectory>,
    /// What was kept.
    pub durable: DurableState,
    /// The state in it.
    pub machine: Machine,
}

/// Opens the state on disk. While it can't be read all requests are answered so that another coordinator is asked: a
/// process that ended could not say so, and a disk that can't be read is never taken for an empty one. `None`: the process
/// was told to end meanwhile.
pub(super) async fn open_when_readable(
    settings: &NodeSettings,
    inbox: &mut UnboundedReceiver<Event>,
    signals: &mut Signals,
) -> Option<Opened> {
    let mut pause = FIRST_RETRY;
    let mut told = String::new();
    loop {
        match open(settings) {
            Ok(opened) => return Some(opened),
            Err(error) => {
                let fault = error.to_string();
                if fault != told {
                    log::error!("{fault}; this coordinator takes no part until that is mended");
                    told = fault;
                }
            }
        }
        tokio::select! {
            _ = signals.terminate.recv() => return None,
            () = turn_away(inbox) => return None,
            () = tokio::time::sleep(pause) => pause = (2 * pause).min(LONGEST_RETRY),
        }
    }
}

/// Answers requests that this coordinator can't serve them; ends when no more can come.
async fn turn_away(inbox: &mut UnboundedReceiver<Event>) {
    while let Some(event) = inbox.recv().await {
        if let Event::Request { answer, .. } = event {
            let _ = answer.send(CoordinatorResponse::NotServing);
        }
    }
}

/// Reads the state on disk. An empty disk gets a name of its own, unless the whole system starts for the first time.
fn open(settings: &NodeSettings) -> Result<Opened, ProgramError> {
    let folder = settings
        .data_dir
        .clone()
        .unwrap_or_else(|| std::env::temp_dir().join("magpiegap"));
    let directory = FolderDirectory::new(&folder).map_err(|source| ProgramError::System {
        what: "the data folder",
        source,
    })?;
    let (store, recovered) = Store::open(directory)?;
    let durable = match recovered.snapshot {
        Some(parts) => DurableState::recover(parts, &recovered.records)?,
        None => empty_state(settings),
    };
    let machine = Machine::recover(&durable)?;
    Ok(Opened {
        store,
        durable,
        machine,
    })
}

fn empty_state(settings: &NodeSettings) -> DurableState {
    let voter = |address: u32| Member { address, disk: 0 };
    let mut voters: Vec<Member> = settings.seed_addresses().into_iter().map(voter).collect();
    voters.sort_unstable();
    voters.dedup();
    let state = take_snapshot(&magpiegap_jobs::State::default());
    if settings.bootstrap {
        return DurableState::empty(0, Some(ViewNumber(0)), voters, state);
    }
    // A disk that was lost has forgotten its votes: it comes back as another member, and knows nothing.
    let disk = rand::thread_rng().gen::<u64>().max(1);
    DurableState::empty(disk, None, Vec::new(), state)
}
