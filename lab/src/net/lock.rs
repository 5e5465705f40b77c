//! Locking of shared state.
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, ignoring poisoning: the guarded state stays usable after a panic in another task.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
