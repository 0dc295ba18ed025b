use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use serde_json::{Value, json};

use super::PipelineBounds;

/// Pipelined requests of all connections of a VM.
#[derive(Debug, Default)]
pub struct PipelineLoad {
    bounds: PipelineBounds,
    ahead: AtomicUsize,
    held_bytes: AtomicUsize,
    started: AtomicU64,
    waited: AtomicU64,
}

/// Place of one request that was started before its turn, given back on drop.
#[derive(Debug)]
pub(crate) struct StartPermit(Arc<PipelineLoad>);

impl PipelineLoad {
    /// Creates the load of a VM without connections.
    pub fn new(bounds: PipelineBounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Returns the bounds of the VM and of each connection.
    pub fn bounds(&self) -> PipelineBounds {
        self.bounds
    }

    /// Returns the number of requests that were started before their turn and still wait for it.
    pub fn requests_ahead(&self) -> usize {
        self.ahead.load(Ordering::Relaxed)
    }

    /// Returns the bytes that are held for all connections.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that were started before their turn, since the start of the process.
    pub fn started(&self) -> u64 {
        self.started.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that waited for their turn because of a bound, since the start of the process.
    pub fn waited(&self) -> u64 {
        self.waited.load(Ordering::Relaxed)
    }

    /// Returns the load and the bounds for the state dump.
    pub fn view(&self) -> Value {
        json!({
            "ahead": self.requests_ahead(),
            "held_bytes": self.held_bytes(),
            "started": self.started(),
            "waited": self.waited(),
            "bounds": self.bounds,
        })
    }

    pub(crate) fn try_start(self: &Arc<Self>) -> Option<StartPermit> {
        let has_room = |ahead: usize| (ahead < self.bounds.requests).then_some(ahead + 1);
        self.ahead
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, has_room)
            .ok()?;
        self.started.fetch_add(1, Ordering::Relaxed);
        Some(StartPermit(Arc::clone(self)))
    }

    pub(crate) fn count_wait(&self) {
        self.waited.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns whether the VM may hold more bytes.
    pub(crate) fn has_room(&self) -> bool {
        self.held_bytes() < self.bounds.bytes
    }

    pub(crate) fn on_held(&self, bytes: usize) {
        self.held_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn on_released(&self, bytes: usize) {
        self.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl Drop for StartPermit {
    fn drop(&mut self) {
        self.0.ahead.fetch_sub(1, Ordering::Relaxed);
    }
}
