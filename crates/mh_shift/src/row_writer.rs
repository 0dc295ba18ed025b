use std::time::Duration;

use mh_types::{Incarnation, VmName};
use tokio::time::Instant;

use crate::{WriteId, WriteOutcome};

/// Progress of a write without a known outcome.
#[derive(Debug)]
enum WritePhase {
    /// The write was sent and has no reply.
    Sent,
    /// The write got no reply and must be read back.
    Unknown,
    /// The row is being read to find out whether the write took effect.
    ReadingBack,
}

/// Write whose outcome is not known yet.
#[derive(Debug)]
struct PendingWrite<R> {
    id: WriteId,
    row: R,
    phase: WritePhase,
    /// When the current phase began.
    since: Instant,
}

/// Tracks one VM's writes to one row: at most one is pending, and an unknown outcome is read back before the next.
#[derive(Debug)]
pub(crate) struct RowWriter<R> {
    vm: VmName,
    incarnation: Incarnation,
    next: u64,
    stride: u64,
    timeout: Duration,
    pending: Option<PendingWrite<R>>,
}

impl<R: Clone> RowWriter<R> {
    /// Creates a writer. The writers of one VM share `stride` and differ in `first < stride`, which keeps ids unique.
    pub(crate) fn new(vm: VmName, incarnation: Incarnation, first: u64, stride: u64, timeout: Duration) -> Self {
        Self {
            vm,
            incarnation,
            next: first,
            stride,
            timeout,
            pending: None,
        }
    }

    pub(crate) fn pending(&self) -> Option<&R> {
        self.pending.as_ref().map(|p| &p.row)
    }

    /// Starts a write and abandons any pending one; if that one reaches the table later, the condition on the row makes
    /// it a conflict.
    pub(crate) fn begin(&mut self, now: Instant, row: impl FnOnce(WriteId) -> R) -> (WriteId, R) {
        let id = WriteId {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            number: self.next,
        };
        self.next += self.stride;
        let row = row(id.clone());
        self.pending = Some(PendingWrite {
            id: id.clone(),
            row: row.clone(),
            phase: WritePhase::Sent,
            since: now,
        });
        (id, row)
    }

    /// Returns the write whose outcome must be read back now, if any.
    pub(crate) fn read_back(&mut self, now: Instant) -> Option<WriteId> {
        let timeout = self.timeout;
        let pending = self.pending.as_mut()?;
        let waited = now.saturating_duration_since(pending.since) >= timeout;
        if matches!(pending.phase, WritePhase::Unknown) || waited {
            pending.phase = WritePhase::ReadingBack;
            pending.since = now;
            return Some(pending.id.clone());
        }
        None
    }

    /// Applies the outcome of a write; returns the row when the write took effect.
    pub(crate) fn resolve(&mut self, id: &WriteId, outcome: &WriteOutcome) -> Option<R> {
        let pending = self.pending.take_if(|pending| pending.id == *id)?;
        match outcome {
            WriteOutcome::Committed => Some(pending.row),
            WriteOutcome::Conflict(_) | WriteOutcome::NotFound => None,
            // A read-back without an answer is repeated after the next timeout, not at once.
            WriteOutcome::Unknown => {
                let phase = if matches!(pending.phase, WritePhase::Sent) {
                    WritePhase::Unknown
                } else {
                    WritePhase::ReadingBack
                };
                self.pending = Some(PendingWrite { phase, ..pending });
                None
            }
        }
    }
}
