use std::sync::PoisonError;

use crate::MutexGuard;
use crate::held::{Held, Level};

/// Mutual exclusion for short critical sections that take no other lock and do not block.
///
/// In contrast to [`std::sync::Mutex`] it can still be locked after a thread has panicked while it held the lock.
/// Guarded values are replaced in single steps, so that they stay consistent.
#[derive(Debug, Default)]
pub struct Mutex<T>(std::sync::Mutex<T>);

impl<T> Mutex<T> {
    /// Creates an unlocked mutex.
    pub const fn new(value: T) -> Self {
        Self(std::sync::Mutex::new(value))
    }

    /// Waits for the lock and takes it.
    ///
    /// # Panics
    ///
    /// In builds with debug assertions, if this thread holds any [`Mutex`].
    #[track_caller]
    pub fn lock(&self) -> MutexGuard<'_, T> {
        // The check comes before the wait, so that a violation is reported instead of a deadlock.
        let held = Held::acquire(Level::Inner);
        let inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        MutexGuard { inner, _held: held }
    }
}
