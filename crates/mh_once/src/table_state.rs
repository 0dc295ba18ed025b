use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use mh_sync::{Mutex, MutexGuard};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::answer::Answer;
use crate::attempt::Attempt;
use crate::attempt_outcome::AttemptOutcome;
use crate::begin_outcome::BeginOutcome;
use crate::fingerprint::Fingerprint;
use crate::limits::TableLimits;
use crate::owner::{Owner, millis};
use crate::record::RecordState;
use crate::record_key::RecordKey;
use crate::shard::Shard;
use crate::usage::TableUsage;
use crate::wait_outcome::WaitOutcome;
use crate::waiter::Waiter;

/// Number of separately locked shards of the operation table.
const SHARDS: usize = 16;
/// Maximum number of expired records removed per request, to limit the time that the lock is held.
const MAX_PURGED_PER_REQUEST: usize = 8;

/// State of an [`OpTable`](crate::OpTable), shared with its attempts.
pub(crate) struct TableState {
    pub(crate) owner: Owner,
    limits: TableLimits,
    entries: AtomicUsize,
    shards: [Mutex<Shard>; SHARDS],
}

impl TableState {
    pub(crate) fn new(owner: Owner, limits: TableLimits) -> Self {
        Self {
            owner,
            limits,
            entries: AtomicUsize::new(0),
            shards: Default::default(),
        }
    }

    /// Decides a request; `lifetime_start_ms` is the start of the id's lifetime, or `None` if only an existing
    /// record can tell it.
    pub(crate) fn begin(
        self: &Arc<Self>,
        now: Instant,
        key: RecordKey,
        lifetime_start_ms: Option<u64>,
        fingerprint: Fingerprint,
    ) -> BeginOutcome {
        self.try_begin(now, key, lifetime_start_ms, fingerprint)
            .unwrap_or_else(|| {
                self.purge(now);
                self.try_begin(now, key, lifetime_start_ms, fingerprint)
                    .unwrap_or(BeginOutcome::Full)
            })
    }

    /// Decides a request; returns `None` when it needs a new record and the operation table is full.
    fn try_begin(
        self: &Arc<Self>,
        now: Instant,
        key: RecordKey,
        lifetime_start_ms: Option<u64>,
        fingerprint: Fingerprint,
    ) -> Option<BeginOutcome> {
        let mut shard = self.shard(key);
        let clock = shard.advance_clock(self.owner.elapsed_ms(now));
        self.release_entries(shard.purge(MAX_PURGED_PER_REQUEST));
        if let Some(record) = shard.get_mut(key) {
            if record.expires_ms <= clock {
                return Some(BeginOutcome::Expired);
            }
            if record.fingerprint != fingerprint {
                return Some(BeginOutcome::Mismatch);
            }
            return Some(match &mut record.state {
                RecordState::Running(waiters_tx) => {
                    let waiters_tx = waiters_tx.get_or_insert_with(|| watch::channel(None).0);
                    BeginOutcome::InProgress(Waiter::new(waiters_tx.subscribe()))
                }
                RecordState::Answered(answer) => BeginOutcome::Done(Arc::clone(answer)),
                RecordState::AnswerGone => BeginOutcome::AnswerGone,
                RecordState::Unknown => BeginOutcome::Unresolved,
            });
        }
        let Some(lifetime_start) = lifetime_start_ms.filter(|lifetime_start| *lifetime_start <= clock) else {
            return Some(BeginOutcome::NotOwner);
        };
        let expires_ms = lifetime_start.saturating_add(millis(self.limits.lifetime));
        if expires_ms <= clock {
            return Some(BeginOutcome::Expired);
        }
        let max = self.limits.max_entries;
        self.entries
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| (n < max).then_some(n + 1))
            .ok()?;
        shard.insert(key, fingerprint, expires_ms);
        drop(shard);
        Some(BeginOutcome::Begin(Attempt::new(Arc::clone(self), key)))
    }

    pub(crate) fn finish(&self, key: RecordKey, now: Instant, answer: Answer) -> Arc<Answer> {
        let bytes = answer.memory_bytes();
        let fits = bytes <= self.limits.max_one_answer_bytes && bytes <= self.max_shard_bytes();
        let answer = Arc::new(if fits { answer.compact() } else { answer });
        let outcome = if fits {
            AttemptOutcome::Answered(Arc::clone(&answer))
        } else {
            AttemptOutcome::AnswerTooLarge
        };
        self.end_attempt(key, Some(now), outcome, Some(WaitOutcome::Answer(Arc::clone(&answer))));
        answer
    }

    /// Ends the attempt of `key`; `result` is sent to waiters in place of the result that `outcome` implies.
    pub(crate) fn end_attempt(
        &self,
        key: RecordKey,
        now: Option<Instant>,
        outcome: AttemptOutcome,
        result: Option<WaitOutcome>,
    ) {
        let result = result.unwrap_or(match outcome {
            AttemptOutcome::Abandoned => WaitOutcome::Abandoned,
            _ => WaitOutcome::Unknown,
        });
        let mut shard = self.shard(key);
        if let Some(now) = now {
            shard.advance_clock(self.owner.elapsed_ms(now));
        }
        let (removed, waiters_tx) = shard.end_attempt(key, outcome, self.max_shard_bytes());
        self.release_entries(usize::from(removed));
        drop(shard);
        if let Some(tx) = waiters_tx {
            tx.send_replace(Some(result));
        }
    }

    /// Removes every ended record whose lifetime has expired.
    pub(crate) fn purge(&self, now: Instant) {
        let now_ms = self.owner.elapsed_ms(now);
        for shard in &self.shards {
            let mut shard = shard.lock();
            shard.advance_clock(now_ms);
            self.release_entries(shard.purge(usize::MAX));
        }
    }

    pub(crate) fn usage(&self) -> TableUsage {
        self.shards
            .iter()
            .map(|shard| shard.lock().usage())
            .fold(TableUsage::default(), |sum, part| TableUsage {
                entries: sum.entries + part.entries,
                running: sum.running + part.running,
                answers: sum.answers + part.answers,
                answer_bytes: sum.answer_bytes + part.answer_bytes,
            })
    }

    fn release_entries(&self, entries: usize) {
        if entries > 0 {
            self.entries.fetch_sub(entries, Ordering::AcqRel);
        }
    }

    fn max_shard_bytes(&self) -> usize {
        self.limits.max_answer_bytes / SHARDS
    }

    fn shard(&self, key: RecordKey) -> MutexGuard<'_, Shard> {
        self.shards[key.shard(SHARDS)].lock()
    }
}

impl fmt::Debug for TableState {
    /// Omits the records: every attempt refers to the operation table, and answers must not be logged.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TableState")
            .field("owner", &self.owner)
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}
