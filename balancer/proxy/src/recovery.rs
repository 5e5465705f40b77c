//! The state that outlives the process: the count and incarnation of its starts, the last valid list of upstreams, and
//! the learned state of the decision module. Owns the snapshot writer and the current list.
mod folder;
mod inspect;
mod records;
mod start;

pub(crate) use inspect::inspect;
pub(crate) use records::Restored;
pub(crate) use start::Start;

use crate::listing::{ListSnapshot, Listing, Names};
use crate::options::RecoveryOptions;
use balancer_core::{Learned, Settings};
use balancer_settings::Deployment;
use balancer_snapshots::store::{Opened, StoreError};
use balancer_snapshots::writer::Written;
use balancer_snapshots::{Kind, Owner, SnapshotWriter};
use folder::FolderContents;
use records::{LearnedRecord, RecordUnusable};
use std::path::Path;
use std::time::Duration;

/// Maximum time that the shutdown waits for queued writes.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Saves state while the balancer runs.
pub(crate) struct Recovery {
    writer: SnapshotWriter,
    list: ListSnapshot,
    /// Fingerprint of all settings of the decision module: learned state from other settings cannot be used.
    settings_fingerprint: u32,
    learned_interval: Duration,
}

/// The state restored from an earlier run; by default none.
#[derive(Default)]
pub(crate) struct Recovered {
    /// Saves state, if the store can be written.
    pub recovery: Option<Recovery>,
    /// The count and incarnation of this start, if they are on disk.
    pub start: Option<Start>,
    /// The last valid list, if it is still usable.
    pub list: Option<Listing>,
    /// The learned state, if it is still usable.
    pub learned: Option<Restored<Learned>>,
}

/// Returns the owner of the state: the balancer's name, and a hash of the settings that its positions refer to.
pub(crate) fn owner(name: &str, deployment: &Deployment) -> Owner {
    let lists = [
        &deployment.zones,
        &deployment.kinds,
        &deployment.classes,
        &deployment.tenants,
    ];
    let mut hash = crc32fast::Hasher::new();
    for list in lists {
        for name in list {
            hash.update(name.as_bytes());
            hash.update(&[0]);
        }
        hash.update(&[1]);
    }
    hash.update(&deployment.policy.stage.to_be_bytes());
    Owner {
        name: name.into(),
        settings: hash.finalize(),
    }
}

/// Opens the folder that the options name. On failure, logs the error and continues without persistence.
pub(crate) fn open(
    options: &RecoveryOptions,
    owner: Owner,
    names: &Names,
    settings: &Settings,
) -> Recovered {
    let deployment = owner.settings;
    let FolderContents {
        store,
        start,
        list,
        learned,
    } = match folder::read(options, owner) {
        Ok(contents) => contents,
        Err(error) => {
            log_recovery_off(&options.dir, &error.to_string());
            return Recovered::default();
        }
    };
    let writer = start_writer(store);
    let settings_fingerprint = crc32fast::hash(settings.stored_form().as_bytes());
    let list = records::restore_list(&list, deployment, names, options.max_list_age);
    let learned = if options.restore_learned {
        records::restore_learned(&learned, deployment, settings_fingerprint, settings)
    } else {
        Err(RecordUnusable::SwitchedOff)
    };
    log_recovered(&start, &list, &learned);
    let list = list.ok().map(|list| list.value);
    let recovery = match writer {
        Ok(writer) => Some(Recovery {
            writer,
            list: ListSnapshot::of(list.as_ref()),
            settings_fingerprint,
            learned_interval: options.interval,
        }),
        Err(error) => {
            log_recovery_off(&options.dir, &format!("state cannot be saved: {error}"));
            None
        }
    };
    Recovered {
        recovery,
        start: start.ok(),
        list,
        learned: learned.ok(),
    }
}

/// Why state cannot be saved.
#[derive(Debug, thiserror::Error)]
enum WriterError {
    #[error("{0}")]
    Store(#[source] StoreError),
    #[error("{0}")]
    Start(#[source] Box<dyn std::error::Error + Send + Sync>),
}

fn start_writer(store: Result<Opened, StoreError>) -> Result<SnapshotWriter, WriterError> {
    let Opened { store, set_aside } = store.map_err(WriterError::Store)?;
    if let Some((path, error)) = set_aside {
        let path = path.display();
        tracing::warn!(target: "recovery", event = "state_set_aside", error, "recovery: {error}: set aside as {path}");
    }
    SnapshotWriter::start(store).map_err(|error| WriterError::Start(error.into()))
}

fn log_recovery_off(dir: &Path, error: &str) {
    let dir = dir.display();
    tracing::warn!(target: "recovery", event = "recovery_off", error, "recovery: {dir}: {error}; continuing without it");
}

fn log_recovered(
    start: &Result<Start, StoreError>,
    list: &Result<Restored<Listing>, RecordUnusable>,
    learned: &Result<Restored<Learned>, RecordUnusable>,
) {
    let start_text = match start {
        Ok(start) => format!("start {}", start.count),
        Err(error) => format!("start count unknown ({error})"),
    };
    let list_text = match list {
        Ok(list) => format!(
            "a list of {} upstreams, {:.1} s old",
            list.value.entries.len(),
            list.age_ms / 1000.0
        ),
        Err(error) => format!("no list: {error}"),
    };
    let learned_text = match learned {
        Ok(learned) => format!("learned state from {:.1} s ago", learned.age_ms / 1000.0),
        Err(error) => format!("no learned state: {error}"),
    };
    let starts = start.as_ref().ok().map(|start| start.count);
    tracing::info!(
        target: "recovery", event = "recovered", starts, list = list.is_ok(), learned = learned.is_ok(),
        "recovery: {start_text}, {list_text}, {learned_text}"
    );
}

impl Recovery {
    /// Saves the list after a response from discovery.
    pub(crate) fn save_list(&mut self, listing: &Listing) {
        self.list.apply(listing);
        self.writer.enqueue(Kind::Upstreams, self.list.to_json());
        self.log_failure();
    }

    /// Saves the learned state of the module.
    pub(crate) fn save_learned(&self, learned: Learned) {
        let record = LearnedRecord {
            settings_fingerprint: self.settings_fingerprint,
            learned,
        };
        // Cannot fail: the record holds only finite numbers.
        let text = serde_json::to_string(&record).unwrap_or_default();
        self.writer.enqueue(Kind::Learned, text);
        self.log_failure();
    }

    /// Returns the interval at which the learned state is to be saved.
    pub(crate) fn learned_interval(&self) -> Duration {
        self.learned_interval
    }

    fn log_failure(&self) {
        if let Some(error) = self.writer.take_failure() {
            tracing::warn!(target: "recovery", event = "state_not_written", error, "recovery: cannot save state: {error}");
        }
    }

    /// Returns the counters of writes.
    pub(crate) fn written(&self) -> Written {
        self.writer.written()
    }

    /// Waits for a bounded time for queued writes, and returns whether all are complete.
    pub(crate) fn flush(&self) -> bool {
        self.writer.flush(FLUSH_TIMEOUT)
    }
}
