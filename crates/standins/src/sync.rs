//! Locks that outlive a panic of another thread.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, also after a thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
