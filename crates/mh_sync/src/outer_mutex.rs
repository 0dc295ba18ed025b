use std::sync::PoisonError;

use crate::MutexGuard;
use crate::held::{Held, Level};

/// Mutual exclusion for a sequence of steps, each of which may take one [`Mutex`](crate::Mutex).
///
/// Since it is taken before any other lock and a thread holds only one of each kind, the order of the two is the same
/// everywhere.
#[derive(Debug, Default)]
pub struct OuterMutex<T>(std::sync::Mutex<T>);

impl<T> OuterMutex<T> {
    /// Creates an unlocked mutex.
    pub const fn new(value: T) -> Self {
        Self(std::sync::Mutex::new(value))
    }

    /// Waits for the lock and takes it.
    ///
    /// # Panics
    ///
    /// In builds with debug assertions, if this thread holds any [`OuterMutex`] or [`Mutex`](crate::Mutex).
    #[track_caller]
    pub fn lock(&self) -> MutexGuard<'_, T> {
        let held = Held::acquire(Level::Outer);
        let inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        MutexGuard { inner, _held: held }
    }
}
