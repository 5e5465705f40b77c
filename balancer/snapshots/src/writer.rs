//! The writer of a store, on its own thread. Owns the store and a queue that never blocks its callers: only the newest
//! payload of each kind is queued, however slow the disk is. Reads nothing.
use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::record::Kind;
use crate::store::Store;

/// The backoff after the first failed write. It doubles with each further failure, to spare a failing disk.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// The maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Counts of writes so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Written {
    /// Committed transactions.
    pub commits: u64,
    /// Queued payloads that were replaced by a newer one of their kind before they were written.
    pub replaced: u64,
    /// Failed transactions, whose payloads are retried with the next one.
    pub failed: u64,
    /// Bytes of committed payloads.
    pub bytes: u64,
}

/// The state shared by callers and the writer thread.
#[derive(Default)]
struct State {
    /// The newest payload of each kind that is not written yet.
    queue: BTreeMap<Kind, String>,
    is_writing: bool,
    is_stopping: bool,
    written: Written,
    /// The last failure, until it is taken.
    failure: Option<String>,
}

impl State {
    fn record_commit(&mut self, payloads: &[(Kind, String)]) {
        self.written.commits += 1;
        let bytes = payloads.iter().map(|(_, payload)| payload.len() as u64);
        self.written.bytes += bytes.sum::<u64>();
    }

    /// Queues payloads again whose write failed, unless a newer one of their kind is queued.
    fn requeue(&mut self, payloads: Vec<(Kind, String)>, failure: String) {
        self.written.failed += 1;
        self.failure = Some(failure);
        for (kind, payload) in payloads {
            self.queue.entry(kind).or_insert(payload);
        }
    }
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for queued payloads and takes all of them; returns `None` once the writer is dropped and the queue is
    /// empty.
    fn next_batch(&self) -> Option<Vec<(Kind, String)>> {
        let mut state = self.lock();
        while state.queue.is_empty() {
            if state.is_stopping {
                return None;
            }
            let woken = self.changed.wait(state);
            state = woken.unwrap_or_else(PoisonError::into_inner);
        }
        state.is_writing = true;
        Some(std::mem::take(&mut state.queue).into_iter().collect())
    }
}

/// A handle to the writer thread of a store and its queue.
pub struct SnapshotWriter {
    shared: Arc<Shared>,
}

/// The current Unix time in milliseconds: the clock for the timestamps and ages of records.
pub fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

impl SnapshotWriter {
    /// Starts the thread, which owns the store from then on.
    ///
    /// # Errors
    ///
    /// When the thread can't be started.
    pub fn start(store: Store) -> Result<SnapshotWriter, String> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let thread_shared = shared.clone();
        let thread = std::thread::Builder::new()
            .name("store".into())
            .spawn(move || run(&thread_shared, store));
        thread.map_err(|e| format!("failed to start the store's writer thread: {e}"))?;
        Ok(SnapshotWriter { shared })
    }

    /// Queues a payload to be written, replacing a queued one of its kind.
    pub fn enqueue(&self, kind: Kind, payload: String) {
        let mut state = self.shared.lock();
        if state.queue.insert(kind, payload).is_some() {
            state.written.replaced += 1;
        }
        self.shared.changed.notify_all();
    }

    /// Returns the counts of writes so far.
    pub fn written(&self) -> Written {
        self.shared.lock().written
    }

    /// Returns the failure of the last write, once.
    pub fn take_failure(&self) -> Option<String> {
        self.shared.lock().failure.take()
    }

    /// Waits until all queued payloads are committed, a write fails, or `timeout` expires. Returns whether all were
    /// committed.
    pub fn flush(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut state = self.shared.lock();
        let failed = state.written.failed;
        while state.is_writing || !state.queue.is_empty() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() || state.written.failed > failed {
                return false;
            }
            let waited = self.shared.changed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }
}

impl Drop for SnapshotWriter {
    fn drop(&mut self) {
        self.shared.lock().is_stopping = true;
        self.shared.changed.notify_all();
    }
}

/// Writes queued payloads until the writer is dropped.
fn run(shared: &Shared, mut store: Store) {
    let mut backoff = Duration::ZERO;
    while let Some(payloads) = shared.next_batch() {
        let result = store.put(&payloads, unix_ms());
        let mut state = shared.lock();
        state.is_writing = false;
        match result {
            Ok(()) => {
                state.record_commit(&payloads);
                backoff = Duration::ZERO;
            }
            Err(e) => {
                state.requeue(payloads, e.to_string());
                backoff = (backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
            }
        }
        shared.changed.notify_all();
        if !backoff.is_zero() {
            if state.is_stopping {
                return;
            }
            drop(shared.changed.wait_timeout(state, backoff));
        }
    }
}
