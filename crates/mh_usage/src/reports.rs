use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::{Params, WindowRecord};

/// Delay before a call is repeated; it doubles with each repeat.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Largest delay before a call is repeated.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Result of a call of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The report was accepted.
    Accepted,
    /// The platform knows a higher token.
    Fenced,
    /// The call may be repeated; it may still be executed later.
    Unknown,
}

/// A recorded window that is not yet reported.
#[derive(Debug)]
struct Pending {
    record: Arc<WindowRecord>,
    next_at: Instant,
    backoff: Duration,
    is_in_flight: bool,
}

/// Calls to make for the recorded windows.
#[derive(Debug, Default)]
pub struct Reports {
    pending: BTreeMap<u64, Pending>,
    next_call_at: Option<Instant>,
}

impl Reports {
    /// Adds a window whose counts are in the store.
    pub fn push(&mut self, now: Instant, record: WindowRecord) {
        self.pending.entry(record.window).or_insert_with(|| Pending {
            record: Arc::new(record),
            next_at: now,
            backoff: INITIAL_BACKOFF,
            is_in_flight: false,
        });
    }

    /// Returns the report to send now, of the oldest window that is due.
    pub fn next_call(&mut self, now: Instant, params: &Params) -> Option<Arc<WindowRecord>> {
        if self.next_call_at.is_some_and(|at| now < at) {
            return None;
        }
        let mut pending = self.pending.values_mut();
        let due = pending.find(|pending| !pending.is_in_flight && pending.next_at <= now)?;
        due.is_in_flight = true;
        self.next_call_at = Some(now + params.call_interval());
        Some(Arc::clone(&due.record))
    }

    /// Returns whether a report is to be sent at `now`.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        let mut pending = self.pending.values();
        pending.any(|pending| !pending.is_in_flight && pending.next_at <= now)
    }

    /// Records the result of a call for `window`; one that may be repeated waits.
    pub fn on_result(&mut self, now: Instant, window: u64, outcome: CallOutcome) {
        if outcome == CallOutcome::Accepted {
            self.pending.remove(&window);
        } else if let Some(pending) = self.pending.get_mut(&window) {
            pending.is_in_flight = false;
            pending.next_at = now + pending.backoff;
            pending.backoff = (pending.backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Gives up windows before `window`; returns them.
    pub fn expire_before(&mut self, window: u64) -> Vec<u64> {
        let kept = self.pending.split_off(&window);
        std::mem::replace(&mut self.pending, kept).into_keys().collect()
    }

    /// Returns the first window that is not reported.
    pub fn first_pending(&self) -> Option<u64> {
        self.pending.keys().next().copied()
    }

    /// Returns the number of windows that are not reported.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether every recorded window is reported.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
