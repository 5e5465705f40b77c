//! Writes on a thread of its own. Queueing never blocks: only the newest payload of each kind waits for the
//! disk, however long that takes.
use crate::record::Kind;
use crate::store::Store;
use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Counts of writes so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Written {
    /// Transactions on the disk.
    pub commits: u64,
    /// Payloads that a newer one of their kind replaced before the disk was ready for them.
    pub replaced: u64,
    /// Transactions that failed; what they held is tried again with the next.
    pub failed: u64,
    /// Bytes of payloads on the disk.
    pub bytes: u64,
}

#[derive(Default)]
struct Pending {
    newest: BTreeMap<Kind, String>,
    busy: bool,
    stopping: bool,
    written: Written,
    /// What the last failure was, until it has been read.
    failure: Option<String>,
}

struct Shared {
    pending: Mutex<Pending>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A writer thread for a store, and the queue to it.
pub struct Keeper {
    shared: Arc<Shared>,
}

/// Unix time, in milliseconds: the clock by which records are written, and by which their age is measured.
pub fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

impl Keeper {
    /// Starts the thread, which owns the store from then on.
    pub fn start(store: Store) -> Result<Keeper, String> {
        let shared = Arc::new(Shared {
            pending: Mutex::default(),
            changed: Condvar::new(),
        });
        let own = shared.clone();
        let thread = std::thread::Builder::new()
            .name("store".into())
            .spawn(move || work(&own, store));
        thread.map_err(|e| format!("a thread for the store: {e}"))?;
        Ok(Keeper { shared })
    }

    /// Queues a payload to be written. It replaces an older one of its kind that is still queued.
    pub fn keep(&self, kind: Kind, payload: String) {
        let mut pending = self.shared.lock();
        if pending.newest.insert(kind, payload).is_some() {
            pending.written.replaced += 1;
        }
        self.shared.changed.notify_all();
    }

    /// Counts of writes so far.
    pub fn written(&self) -> Written {
        self.shared.lock().written
    }

    /// What went wrong with the last write, once.
    pub fn failure(&self) -> Option<String> {
        self.shared.lock().failure.take()
    }

    /// Waits until all that was handed over is on the disk, or has failed; no longer than this. Returns whether it is.
    pub fn flush(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        let mut pending = self.shared.lock();
        let failed = pending.written.failed;
        while pending.busy || !pending.newest.is_empty() {
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() || pending.written.failed > failed {
                return false;
            }
            let waited = self.shared.changed.wait_timeout(pending, remaining);
            pending = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        self.shared.lock().stopping = true;
        self.shared.changed.notify_all();
    }
}

fn work(shared: &Shared, mut store: Store) {
    let mut pause = Duration::ZERO;
    loop {
        let batch = {
            let mut pending = shared.lock();
            while pending.newest.is_empty() {
                if pending.stopping {
                    return;
                }
                pending = shared
                    .changed
                    .wait(pending)
                    .unwrap_or_else(PoisonError::into_inner);
            }
            pending.busy = true;
            std::mem::take(&mut pending.newest)
        };
        let payloads: Vec<(Kind, String)> = batch.into_iter().collect();
        let result = store.put(&payloads, unix_ms());
        let mut pending = shared.lock();
        pending.busy = false;
        match result {
            Ok(()) => {
                pending.written.commits += 1;
                pending.written.bytes += payloads.iter().map(|(_, p)| p.len() as u64).sum::<u64>();
                pause = Duration::ZERO;
            }
            Err(e) => {
                pending.written.failed += 1;
                pending.failure = Some(e.to_string());
                for (kind, payload) in payloads {
                    pending.newest.entry(kind).or_insert(payload);
                }
                // A disk that fails is not helped by being asked at once again.
                pause = (pause * 2).clamp(Duration::from_millis(100), Duration::from_secs(5));
            }
        }
        shared.changed.notify_all();
        if !pause.is_zero() {
            if pending.stopping {
                return;
            }
            drop(shared.changed.wait_timeout(pending, pause));
        }
    }
}
