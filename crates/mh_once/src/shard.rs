use std::collections::{BTreeSet, HashMap};
use std::mem;

use tokio::sync::watch;

use crate::attempt_outcome::AttemptOutcome;
use crate::fingerprint::Fingerprint;
use crate::record::{Record, RecordState};
use crate::record_key::RecordKey;
use crate::usage::TableUsage;
use crate::wait_outcome::WaitOutcome;

/// Part of the operation table, protected by its own lock.
#[derive(Debug, Default)]
pub(crate) struct Shard {
    records: HashMap<RecordKey, Record>,
    /// Ended operations whose answer is kept, ordered by end of lifetime.
    with_answer: BTreeSet<(u64, RecordKey)>,
    /// Ended operations without a kept answer, ordered by end of lifetime.
    without_answer: BTreeSet<(u64, RecordKey)>,
    answer_bytes: usize,
    clock_ms: u64,
}

impl Shard {
    /// Advances the shard's clock to `now_ms`, unless it is already later, and returns it.
    ///
    /// Without this, a request that read its clock and was then paused until its record had been removed would find no
    /// record of an unexpired id, and run the operation again.
    pub(crate) fn advance_clock(&mut self, now_ms: u64) -> u64 {
        self.clock_ms = self.clock_ms.max(now_ms);
        self.clock_ms
    }

    pub(crate) fn get_mut(&mut self, key: RecordKey) -> Option<&mut Record> {
        self.records.get_mut(&key)
    }

    pub(crate) fn insert(&mut self, key: RecordKey, fingerprint: Fingerprint, expires_ms: u64) {
        self.records.insert(
            key,
            Record {
                fingerprint,
                expires_ms,
                state: RecordState::Running(None),
            },
        );
    }

    /// Removes at most `limit` ended records whose lifetime has expired and returns their number.
    ///
    /// The record of a running attempt stays, regardless of its age, until the attempt ends.
    pub(crate) fn purge(&mut self, limit: usize) -> usize {
        let mut removed = 0;
        while removed < limit {
            let clock = self.clock_ms;
            let first =
                |set: &BTreeSet<(u64, RecordKey)>| set.first().copied().filter(|(expires_ms, _)| *expires_ms <= clock);
            let Some((expires_ms, key)) = first(&self.with_answer).or_else(|| first(&self.without_answer)) else {
                break;
            };
            self.with_answer.remove(&(expires_ms, key));
            self.without_answer.remove(&(expires_ms, key));
            if let Some(Record {
                state: RecordState::Answered(answer),
                ..
            }) = self.records.remove(&key)
            {
                self.answer_bytes -= answer.memory_bytes();
            }
            removed += 1;
        }
        removed
    }

    /// Ends the running attempt of `key`.
    ///
    /// Returns whether the record was removed, and the channel to the waiters for the result.
    pub(crate) fn end_attempt(
        &mut self,
        key: RecordKey,
        outcome: AttemptOutcome,
        max_bytes: usize,
    ) -> (bool, Option<watch::Sender<Option<WaitOutcome>>>) {
        let Some(record) = self.records.get_mut(&key) else {
            return (false, None);
        };
        let RecordState::Running(waiters_tx) = &mut record.state else {
            return (false, None);
        };
        let waiters_tx = waiters_tx.take();
        let expires_ms = record.expires_ms;
        if matches!(outcome, AttemptOutcome::Abandoned) || expires_ms <= self.clock_ms {
            self.records.remove(&key);
            return (true, waiters_tx);
        }
        match outcome {
            AttemptOutcome::Answered(answer) => {
                self.answer_bytes += answer.memory_bytes();
                record.state = RecordState::Answered(answer);
                self.with_answer.insert((expires_ms, key));
                self.evict_answers(max_bytes);
            }
            AttemptOutcome::AnswerTooLarge => {
                record.state = RecordState::AnswerGone;
                self.without_answer.insert((expires_ms, key));
            }
            AttemptOutcome::Unknown | AttemptOutcome::Abandoned => {
                record.state = RecordState::Unknown;
                self.without_answer.insert((expires_ms, key));
            }
        }
        (false, waiters_tx)
    }

    /// Evicts answers until the rest fit in `max_bytes`; their records stay, so the operations do not run again.
    fn evict_answers(&mut self, max_bytes: usize) {
        while self.answer_bytes > max_bytes {
            let Some((expires_ms, key)) = self.with_answer.pop_first() else {
                break;
            };
            self.without_answer.insert((expires_ms, key));
            if let Some(record) = self.records.get_mut(&key)
                && let RecordState::Answered(answer) = mem::replace(&mut record.state, RecordState::AnswerGone)
            {
                self.answer_bytes -= answer.memory_bytes();
            }
        }
    }

    pub(crate) fn usage(&self) -> TableUsage {
        TableUsage {
            entries: self.records.len(),
            running: self.records.len() - self.with_answer.len() - self.without_answer.len(),
            answers: self.with_answer.len(),
            answer_bytes: self.answer_bytes,
        }
    }
}
