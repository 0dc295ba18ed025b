use std::ops::{Deref, DerefMut};

use crate::held::Held;

/// Access to the value of a locked mutex; dropping it releases the lock.
// The lock is released before the record of it, in the order of the fields.
#[derive(Debug)]
pub struct MutexGuard<'a, T> {
    pub(crate) inner: std::sync::MutexGuard<'a, T>,
    pub(crate) _held: Held,
}

impl<T> Deref for MutexGuard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.inner
    }
}

impl<T> DerefMut for MutexGuard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.inner
    }
}
