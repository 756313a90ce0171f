//! Locks of short changes.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a panic of another holder: each change is complete by itself.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
