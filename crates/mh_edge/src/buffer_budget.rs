use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Limit on the memory of buffered bodies, over all requests of a VM.
///
/// A body that does not fit is not kept as a whole.
#[derive(Clone, Debug)]
pub struct BufferBudget(Arc<BudgetState>);

#[derive(Debug)]
struct BudgetState {
    max_bytes: usize,
    reserved_bytes: AtomicUsize,
}

/// Reservation for one body, released on drop.
#[derive(Debug)]
pub struct BufferPermit {
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

impl BudgetState {
    /// Adds `bytes` to the reserved ones; returns whether there is room.
    fn add(&self, bytes: usize) -> bool {
        let fits = |reserved: usize| reserved.checked_add(bytes).filter(|sum| *sum <= self.max_bytes);
        self.reserved_bytes
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, fits)
            .is_ok()
    }
}

impl BufferBudget {
    /// Creates a budget of `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self(Arc::new(BudgetState {
            max_bytes,
            reserved_bytes: AtomicUsize::new(0),
        }))
    }

    /// Reserves `bytes`; `None` if less is left.
    pub fn reserve(&self, bytes: usize) -> Option<BufferPermit> {
        self.0.add(bytes).then(|| BufferPermit {
            bytes,
            state: Arc::clone(&self.0),
        })
    }

    /// Returns the number of reserved bytes.
    pub fn reserved_bytes(&self) -> usize {
        self.0.reserved_bytes.load(Ordering::Acquire)
    }
}

impl BufferPermit {
    /// Extends the reservation to `bytes`; returns whether there is room.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        let is_added = self.state.add(missing);
        if is_added {
            self.bytes += missing;
        }
        is_added
    }

    /// Returns the same bytes, which hold the reservation until their last clone is dropped.
    pub fn attach(self, body: Bytes) -> Bytes {
        Bytes::from_owner(OwnedBody { body, _permit: self })
    }
}

impl Drop for BufferPermit {
    fn drop(&mut self) {
        self.state.reserved_bytes.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
