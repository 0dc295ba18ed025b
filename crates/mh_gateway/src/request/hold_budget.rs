use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Bound on the bytes of bodies that a VM holds in memory, over all requests.
///
/// A body that finds no room is passed on as it arrives, which costs the chance to send it again.
#[derive(Clone, Debug)]
pub(crate) struct HoldBudget(Arc<Account>);

#[derive(Debug)]
struct Account {
    max: usize,
    held: AtomicUsize,
}

/// Room for one body; given back when dropped.
#[derive(Debug)]
pub(crate) struct HoldPermit {
    bytes: usize,
    account: Arc<Account>,
}

/// A body in memory with its room.
struct Held {
    body: Bytes,
    _permit: HoldPermit,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl HoldBudget {
    /// A budget of `max` bytes.
    pub(crate) fn new(max: usize) -> Self {
        Self(Arc::new(Account {
            max,
            held: AtomicUsize::new(0),
        }))
    }

    /// Room for `bytes`; `None` when the bodies held now leave less.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<HoldPermit> {
        let fits = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= self.0.max);
        let taken = self
            .0
            .held
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, fits)
            .is_ok();
        taken.then(|| HoldPermit {
            bytes,
            account: Arc::clone(&self.0),
        })
    }

    /// Bytes reserved now.
    pub(crate) fn held(&self) -> usize {
        self.0.held.load(Ordering::Acquire)
    }
}

impl HoldPermit {
    /// The same bytes, which keep the room until the last copy of them is dropped.
    pub(crate) fn hold(self, body: Bytes) -> Bytes {
        Bytes::from_owner(Held { body, _permit: self })
    }
}

impl Drop for HoldPermit {
    fn drop(&mut self) {
        self.account.held.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
