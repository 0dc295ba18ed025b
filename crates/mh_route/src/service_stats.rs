use std::sync::atomic::AtomicU64;

use crate::latency::{Latency, SERVICE_WEIGHT_DIVISOR};
use crate::window_count::WindowCount;

/// Measurements over all servers of a service, shared by a pool and its successors.
#[derive(Debug)]
pub(crate) struct ServiceStats {
    pub(crate) latency: Latency,
    pub(crate) picks: WindowCount,
    pub(crate) last_pick: AtomicU64,
    pub(crate) no_capacity: AtomicU64,
    pub(crate) unavailable: AtomicU64,
}

impl ServiceStats {
    pub(crate) fn new() -> Self {
        Self {
            latency: Latency::new(SERVICE_WEIGHT_DIVISOR),
            picks: WindowCount::default(),
            last_pick: AtomicU64::new(0),
            no_capacity: AtomicU64::new(0),
            unavailable: AtomicU64::new(0),
        }
    }
}
