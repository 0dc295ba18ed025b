use std::collections::{HashMap, HashSet, VecDeque};

use mh_types::{Code, Run};
use tokio::time::Instant;

use crate::batch::Batch;
use crate::batch_outcome::BatchOutcome;
use crate::batch_progress::BatchProgress;
use crate::caller_id::CallerChosenId;
use crate::claim::Claim;
use crate::claim_limits::ClaimLimits;
use crate::claim_row::ClaimRow;
use crate::claim_step::ClaimStep;
use crate::owner::Owner;
use crate::poll_output::PollOutput;
use crate::push_outcome::PushOutcome;
use crate::row_key::RowKey;
use crate::write_id::WriteId;
use crate::write_outcome::WriteOutcome;

/// Batches claims into writes to the platform table at a bounded rate.
///
/// Writes are at least [`ClaimLimits::write_interval`] apart. A claim pushed when the last write is older than that is
/// written immediately by itself; under load, the claims pushed between two writes share the next write. Claims of the
/// same id share one row.
///
/// A write that includes an existing row fails as a whole. The claims of existing rows are then settled from those
/// rows, and the other claims go to the front of the queue for the next write.
#[derive(Debug)]
pub struct ClaimBatcher {
    owner: Owner,
    limits: ClaimLimits,
    /// Keys of the claims in `queue` and `in_flight`.
    pending: HashSet<RowKey>,
    queue: VecDeque<(Instant, Claim)>,
    in_flight: HashMap<u64, Vec<(Instant, Claim)>>,
    next_write: Instant,
    next_serial: u64,
}

impl ClaimBatcher {
    /// Creates a process's batcher; an owner must have only one.
    pub fn new(owner: Owner, limits: ClaimLimits, now: Instant) -> Self {
        Self {
            owner,
            limits,
            pending: HashSet::new(),
            queue: VecDeque::new(),
            in_flight: HashMap::new(),
            next_write: now,
            next_serial: 0,
        }
    }

    /// Queues a claim of `id`, or joins a pending one of the same id.
    pub fn push(&mut self, now: Instant, id: &CallerChosenId) -> PushOutcome {
        let key = RowKey::new(id);
        if self.pending.contains(&key) {
            return PushOutcome::Pending(key);
        }
        if self.pending.len() >= self.limits.max_pending {
            return PushOutcome::Refuse(Code::BudgetUsedUp, Run::NotRun);
        }
        self.pending.insert(key);
        self.queue.push_back((now, Claim::new(&self.owner, now, id)));
        PushOutcome::Pending(key)
    }

    /// Refuses claims queued for longer than [`ClaimLimits::max_wait`] and returns the next write if one is due.
    pub fn poll(&mut self, now: Instant) -> PollOutput {
        let mut settled = Vec::new();
        while let Some((queued_at, claim)) = self.queue.front()
            && now.saturating_duration_since(*queued_at) > self.limits.max_wait
        {
            settled.push((claim.key(), ClaimStep::Refuse(Code::BudgetUsedUp, Run::NotRun)));
            self.pending.remove(&claim.key());
            self.queue.pop_front();
        }
        PollOutput {
            settled,
            batch: self.next_batch(now),
        }
    }

    /// Time at which [`ClaimBatcher::poll`] next has a write to send; `None` while no claim is queued.
    pub fn next_poll(&self) -> Option<Instant> {
        (!self.queue.is_empty()).then_some(self.next_write)
    }

    /// Number of claims queued or in flight.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Applies the outcome of a write; an unknown `write_id` is ignored.
    pub fn on_outcome(&mut self, write_id: &WriteId, outcome: BatchOutcome) -> BatchProgress {
        if !self.owner.matches(&write_id.vm, write_id.incarnation) {
            return BatchProgress::default();
        }
        let Some(claims) = self.in_flight.remove(&write_id.serial) else {
            return BatchProgress::default();
        };
        let outcome = match outcome {
            BatchOutcome::Conflict(rows) => return self.on_conflict(claims, rows),
            BatchOutcome::Committed => WriteOutcome::Committed,
            BatchOutcome::Unknown => WriteOutcome::Unknown,
            BatchOutcome::NotApplied(code) => WriteOutcome::NotApplied(code),
        };
        let mut progress = BatchProgress::default();
        let mut awaiting_read_back = Vec::new();
        for (queued_at, mut claim) in claims {
            match claim.on_outcome(outcome.clone()) {
                ClaimStep::ReadBack => awaiting_read_back.push((queued_at, claim)),
                step => self.settle(&mut progress, &claim, step),
            }
        }
        if !awaiting_read_back.is_empty() {
            progress.read_back = true;
            self.in_flight.insert(write_id.serial, awaiting_read_back);
        }
        progress
    }

    fn on_conflict(&mut self, claims: Vec<(Instant, Claim)>, rows: Vec<(RowKey, Option<ClaimRow>)>) -> BatchProgress {
        let rows: HashMap<_, _> = rows.into_iter().collect();
        let mut progress = BatchProgress::default();
        let (conflicting, others): (Vec<_>, Vec<_>) = claims
            .into_iter()
            .partition(|(_, claim)| rows.contains_key(&claim.key()));
        let any_conflicting = !conflicting.is_empty();
        for (_, mut claim) in conflicting {
            let row = rows.get(&claim.key()).cloned().flatten();
            let step = claim.on_outcome(WriteOutcome::Conflict(row));
            self.settle(&mut progress, &claim, step);
        }
        for (queued_at, mut claim) in others.into_iter().rev() {
            if any_conflicting {
                self.queue.push_front((queued_at, claim));
            } else {
                // The conflict names no row of this write, so every retry would fail the same way.
                let step = claim.on_outcome(WriteOutcome::NotApplied(Code::OutcomeUnknown));
                self.settle(&mut progress, &claim, step);
            }
        }
        progress
    }

    fn settle(&mut self, progress: &mut BatchProgress, claim: &Claim, step: ClaimStep) {
        self.pending.remove(&claim.key());
        progress.settled.push((claim.key(), step));
    }

    fn next_batch(&mut self, now: Instant) -> Option<Batch> {
        if self.queue.is_empty() || now < self.next_write {
            return None;
        }
        self.next_write = now + self.limits.write_interval;
        let serial = self.next_serial;
        self.next_serial += 1;
        let count = self.queue.len().min(self.limits.max_batch.max(1));
        let claims: Vec<_> = self.queue.drain(..count).collect();
        let rows = claims
            .iter()
            .map(|(_, claim)| (claim.key(), claim.row().clone()))
            .collect();
        self.in_flight.insert(serial, claims);
        let write_id = WriteId {
            vm: self.owner.vm().clone(),
            incarnation: self.owner.incarnation(),
            serial,
        };
        Some(Batch { write_id, rows })
    }
}
