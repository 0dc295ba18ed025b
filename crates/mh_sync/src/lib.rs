//! Locks that cannot deadlock: a thread holds at most one [`Mutex`] at a time.
//!
//! Two threads that take the same two locks in opposite orders wait for each other forever. A thread that never takes a
//! lock while it holds another cannot be part of such a cycle, so no order has to be agreed on. State that has to
//! change together is guarded by one mutex; anything else is copied out before the next lock is taken. Where a sequence
//! of such steps must not interleave with another one, [`OuterMutex`] is taken before the first of them.
//!
//! Builds with debug assertions check the rule at every acquisition and panic with both places. The check needs no
//! second thread and no particular interleaving, so a test that runs a code path once is enough. Release builds contain
//! no check.
//!
//! ```
//! use mh_sync::Mutex;
//!
//! let names = Mutex::new(vec!["vm-a1"]);
//! let count = Mutex::new(0);
//!
//! let len = names.lock().len();
//! *count.lock() += len;
//! assert_eq!(*count.lock(), 1);
//! ```

mod held;
mod mutex;
mod mutex_guard;
mod outer_mutex;

pub use mutex::Mutex;
pub use mutex_guard::MutexGuard;
pub use outer_mutex::OuterMutex;
