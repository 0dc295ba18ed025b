use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use mh_sync::Mutex;
use tokio::sync::oneshot;

/// Questions to other VMs that wait for their replies, by number.
#[derive(Debug)]
pub(crate) struct PendingReplies<T> {
    waiting: Mutex<HashMap<u64, oneshot::Sender<T>>>,
    next_number: AtomicU64,
}

impl<T> Default for PendingReplies<T> {
    fn default() -> Self {
        Self {
            waiting: Mutex::default(),
            next_number: AtomicU64::new(0),
        }
    }
}

impl<T> PendingReplies<T> {
    /// Sends a question with a new number and waits for its reply; `None` after `timeout`.
    pub(crate) async fn exchange(&self, send: impl FnOnce(u64), timeout: Duration) -> Option<T> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        self.waiting.lock().insert(number, tx);
        let _cleanup = Forget { replies: self, number };
        send(number);
        tokio::time::timeout(timeout, rx).await.ok()?.ok()
    }

    /// Passes a reply to the request that waits for it.
    pub(crate) fn complete(&self, number: u64, reply: T) {
        if let Some(tx) = self.waiting.lock().remove(&number) {
            // The request may have ended already.
            let _ = tx.send(reply);
        }
    }
}

/// Removes a question when its request ends, also when the caller leaves while it waits.
struct Forget<'a, T> {
    replies: &'a PendingReplies<T>,
    number: u64,
}

impl<T> Drop for Forget<'_, T> {
    fn drop(&mut self) {
        self.replies.waiting.lock().remove(&self.number);
    }
}
