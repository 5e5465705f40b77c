//! Writes on a thread of its own. Whoever hands something over never waits: only the newest of each kind is kept for
//! the disk, however long that takes.
use crate::record::Kind;
use crate::store::Store;
use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What became of writes so far.
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
struct Waiting {
    newest: BTreeMap<Kind, String>,
    busy: bool,
    ends: bool,
    written: Written,
    /// What the last failure was, until somebody has read it.
    failure: Option<String>,
}

struct Shared {
    waiting: Mutex<Waiting>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The hand-over to the disk.
pub struct Keeper {
    shared: Arc<Shared>,
}

/// Unix time, in milliseconds: the clock by which records are written, and by which their age is told.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

impl Keeper {
    /// Takes a store over.
    pub fn start(store: Store) -> Result<Keeper, String> {
        let shared = Arc::new(Shared { waiting: Mutex::default(), changed: Condvar::new() });
        let own = shared.clone();
        let thread = std::thread::Builder::new().name("store".into()).spawn(move || work(&own, store));
        thread.map_err(|e| format!("a thread for the store: {e}"))?;
        Ok(Keeper { shared })
    }

    /// Hands a payload over. It takes the place of an older one that the disk has not got to.
    pub fn keep(&self, kind: Kind, payload: String) {
        let mut waiting = self.shared.lock();
        if waiting.newest.insert(kind, payload).is_some() {
            waiting.written.replaced += 1;
        }
        self.shared.changed.notify_all();
    }

    /// What became of writes so far.
    pub fn written(&self) -> Written {
        self.shared.lock().written
    }

    /// What went wrong with the last write, once.
    pub fn failure(&self) -> Option<String> {
        self.shared.lock().failure.take()
    }

    /// Waits until all that was handed over is on the disk, or has failed; no longer than this. Says whether it is.
    pub fn flush(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        let mut waiting = self.shared.lock();
        let failed = waiting.written.failed;
        while waiting.busy || !waiting.newest.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || waiting.written.failed > failed {
                return false;
            }
            let waited = self.shared.changed.wait_timeout(waiting, left);
            waiting = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        self.shared.lock().ends = true;
        self.shared.changed.notify_all();
    }
}

fn work(shared: &Shared, mut store: Store) {
    let mut pause = Duration::ZERO;
    loop {
        let batch = {
            let mut waiting = shared.lock();
            while waiting.newest.is_empty() {
                if waiting.ends {
                    return;
                }
                waiting = shared.changed.wait(waiting).unwrap_or_else(PoisonError::into_inner);
            }
            waiting.busy = true;
            std::mem::take(&mut waiting.newest)
        };
        let payloads: Vec<(Kind, String)> = batch.into_iter().collect();
        let done = store.put(&payloads, unix_ms());
        let mut waiting = shared.lock();
        waiting.busy = false;
        match done {
            Ok(()) => {
                waiting.written.commits += 1;
                waiting.written.bytes += payloads.iter().map(|(_, p)| p.len() as u64).sum::<u64>();
                pause = Duration::ZERO;
            }
            Err(e) => {
                waiting.written.failed += 1;
                waiting.failure = Some(e.to_string());
                for (kind, payload) in payloads {
                    waiting.newest.entry(kind).or_insert(payload);
                }
                // A disk that fails is not helped by being asked at once again.
                pause = (pause * 2).clamp(Duration::from_millis(100), Duration::from_secs(5));
            }
        }
        shared.changed.notify_all();
        if !pause.is_zero() {
            if waiting.ends {
                return;
            }
            drop(shared.changed.wait_timeout(waiting, pause));
        }
    }
}
