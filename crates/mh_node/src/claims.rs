use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use mh_once::{Batch, BatchOutcome, CallerChosenId, ClaimBatcher, ClaimRow, ClaimStep, Owner, PushOutcome, RowKey};
use mh_platform::{Commit, CommitOutcome, Expect, Table, Write};
use mh_sync::Mutex;
use mh_types::{Code, Run};
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// Path prefix of the claim rows.
const CLAIM_ROW_PREFIX: &str = "/mangohook/claims/";
/// Delay before the first read-back of a write with an unknown outcome.
const MIN_READ_BACK_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay between two read-backs.
const MAX_READ_BACK_DELAY: Duration = Duration::from_secs(2);
/// Timeout of the write loop while no claim is pending.
const IDLE_WAIT: Duration = Duration::from_hours(1);

/// Claims operation ids that callers chose, in the platform's table.
pub(crate) struct Claims {
    table: Arc<dyn Table>,
    operation_owner: Owner,
    state: Mutex<State>,
    wake: Notify,
}

struct State {
    batcher: ClaimBatcher,
    waiters: HashMap<RowKey, Vec<oneshot::Sender<ClaimStep>>>,
}

impl State {
    fn notify_waiters(&mut self, settled: Vec<(RowKey, ClaimStep)>) {
        for (key, step) in settled {
            for sender in self.waiters.remove(&key).into_iter().flatten() {
                // Sending fails if the caller has disconnected and no longer needs the result.
                let _ = sender.send(step.clone());
            }
        }
    }
}

impl fmt::Debug for Claims {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Claims")
            .field("pending", &self.pending())
            .finish_non_exhaustive()
    }
}

impl Claims {
    pub(crate) fn new(table: Arc<dyn Table>, operation_owner: Owner, now: Instant) -> Self {
        let batcher = ClaimBatcher::new(operation_owner.clone(), mh_once::ClaimLimits::default(), now);
        let state = Mutex::new(State {
            batcher,
            waiters: HashMap::new(),
        });
        Self {
            table,
            operation_owner,
            state,
            wake: Notify::new(),
        }
    }

    /// Returns the number of claims that wait for the table.
    pub(crate) fn pending(&self) -> usize {
        self.state.lock().batcher.pending()
    }

    /// Claims an operation id and waits for the result.
    pub(crate) async fn claim(&self, id: &CallerChosenId) -> ClaimStep {
        let receiver = {
            let mut state = self.state.lock();
            let key = match state.batcher.push(Instant::now(), id) {
                PushOutcome::Pending(key) => key,
                PushOutcome::Refuse(code, run) => return ClaimStep::Refuse(code, run),
            };
            let (sender, receiver) = oneshot::channel();
            state.waiters.entry(key).or_default().push(sender);
            receiver
        };
        self.wake.notify_one();
        receiver
            .await
            .unwrap_or(ClaimStep::Refuse(Code::TableUnreachable, Run::NotRun))
    }

    /// Writes pending claims to the table until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let (batch, next) = {
                let mut state = self.state.lock();
                let poll = state.batcher.poll(Instant::now());
                state.notify_waiters(poll.settled);
                (poll.batch, state.batcher.next_poll())
            };
            if let Some(batch) = batch {
                tokio::spawn(Arc::clone(&self).write_batch(batch));
                continue;
            }
            tokio::select! {
                () = tokio::time::sleep_until(next.unwrap_or_else(|| Instant::now() + IDLE_WAIT)) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    async fn write_batch(self: Arc<Self>, batch: Batch) {
        let commit = batch.rows.iter().fold(Commit::new(), |commit, (key, row)| {
            let value = serde_json::to_string(row).unwrap_or_default();
            commit.with(Write::set(row_path(key), value, Expect::Absent))
        });
        let outcome = match self.table.commit(&commit).await {
            Ok(CommitOutcome::Done { .. }) => BatchOutcome::Committed,
            Ok(CommitOutcome::Conflict { path }) => self.read_conflict(&batch, &path).await,
            Err(e) if e.current_context().0 == Code::OutcomeUnknown => BatchOutcome::Unknown,
            Err(e) => BatchOutcome::NotApplied(e.current_context().0),
        };
        let mut read_back = self.on_outcome(&batch, outcome);
        let mut delay = MIN_READ_BACK_DELAY;
        while read_back {
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_READ_BACK_DELAY);
            let outcome = self.read_back(&batch).await;
            read_back = self.on_outcome(&batch, outcome);
        }
        self.wake.notify_one();
    }

    fn on_outcome(&self, batch: &Batch, outcome: BatchOutcome) -> bool {
        let mut state = self.state.lock();
        let progress = state.batcher.on_outcome(&batch.write_id, outcome);
        state.notify_waiters(progress.settled);
        progress.read_back
    }

    async fn read_conflict(&self, batch: &Batch, path: &str) -> BatchOutcome {
        let Some((key, _)) = batch.rows.iter().find(|(key, _)| row_path(key) == path) else {
            return BatchOutcome::Unknown;
        };
        match self.table.read(path).await {
            Ok(Some(row)) => BatchOutcome::Conflict(vec![(*key, serde_json::from_str(&row.value).ok())]),
            Ok(None) => BatchOutcome::NotApplied(Code::RevisionConflict),
            Err(e) => BatchOutcome::NotApplied(e.current_context().0),
        }
    }

    /// Reads every row of a batch whose reply was lost.
    ///
    /// One row is not enough: an earlier write of this VM that took effect late may have created that row alone.
    async fn read_back(&self, batch: &Batch) -> BatchOutcome {
        let mut existing = Vec::new();
        for (key, _) in &batch.rows {
            match self.table.read(&row_path(key)).await {
                Ok(Some(row)) => existing.push((*key, serde_json::from_str::<ClaimRow>(&row.value).ok())),
                Ok(None) => {}
                Err(_) => return BatchOutcome::Unknown,
            }
        }
        let is_own = |row: &Option<ClaimRow>| row.as_ref().is_some_and(|row| row.is_claimed_by(&self.operation_owner));
        if existing.is_empty() {
            BatchOutcome::NotApplied(Code::OutcomeUnknown)
        } else if existing.len() == batch.rows.len() && existing.iter().all(|(_, row)| is_own(row)) {
            BatchOutcome::Committed
        } else {
            BatchOutcome::Conflict(existing)
        }
    }
}

fn row_path(key: &RowKey) -> String {
    format!("{CLAIM_ROW_PREFIX}{key}")
}
