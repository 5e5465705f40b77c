//! Locks of what tasks share.
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A lock that a panic elsewhere does not spoil: what it guards stays usable metrics.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
