use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Limit on the memory of buffered bodies, over all requests of a VM.
///
/// A body that does not fit is streamed, and its request cannot be sent again.
#[derive(Clone, Debug)]
pub(crate) struct BufferBudget(Arc<BudgetState>);

#[derive(Debug)]
struct BudgetState {
    max_bytes: usize,
    reserved_bytes: AtomicUsize,
}

/// Reservation for one body, released on drop.
#[derive(Debug)]
pub(crate) struct BufferPermit {
    bytes: usize,
    state: Arc<BudgetState>,
}

/// Buffered body together with its reservation.
struct OwnedBody {
    body: Bytes,
    _permit: BufferPermit,
}

impl AsRef<[u8]> for OwnedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl BufferBudget {
    /// Creates a budget of `max_bytes` bytes.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self(Arc::new(BudgetState {
            max_bytes,
            reserved_bytes: AtomicUsize::new(0),
        }))
    }

    /// Reserves `bytes`; `None` if less is left.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<BufferPermit> {
        let fits = |reserved: usize| reserved.checked_add(bytes).filter(|sum| *sum <= self.0.max_bytes);
        let reserved = self
            .0
            .reserved_bytes
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, fits)
            .is_ok();
        reserved.then(|| BufferPermit {
            bytes,
            state: Arc::clone(&self.0),
        })
    }

    /// Returns the number of reserved bytes.
    pub(crate) fn reserved_bytes(&self) -> usize {
        self.0.reserved_bytes.load(Ordering::Acquire)
    }
}

impl BufferPermit {
    /// Returns the same bytes, which hold the reservation until their last clone is dropped.
    pub(crate) fn attach(self, body: Bytes) -> Bytes {
        Bytes::from_owner(OwnedBody { body, _permit: self })
    }
}

impl Drop for BufferPermit {
    fn drop(&mut self) {
        self.state.reserved_bytes.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
