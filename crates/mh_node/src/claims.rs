use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mh_once::{Batch, BatchOutcome, CallerId, ClaimBatcher, ClaimRow, ClaimStep, Owner, PushOutcome, RowKey};
use mh_platform::{Commit, CommitOutcome, Expect, Table, Write};
use mh_types::{Code, Run};
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use crate::node::lock;

/// Rows of the claims.
const CLAIM_PREFIX: &str = "/mangohook/claims/";
/// First wait before the outcome of a write is read back.
const FIRST_READ_BACK: Duration = Duration::from_millis(50);
/// Longest wait between two tries to read an outcome back.
const MAX_READ_BACK: Duration = Duration::from_secs(2);
/// Wait while no claim is pending.
const IDLE: Duration = Duration::from_hours(1);

/// Claims caller-made operation ids in the platform's table.
pub(crate) struct Claims {
    table: Arc<dyn Table>,
    owner: Owner,
    state: Mutex<State>,
    pushed: Notify,
}

struct State {
    batcher: ClaimBatcher,
    waiting: HashMap<RowKey, Vec<oneshot::Sender<ClaimStep>>>,
}

impl State {
    fn settle(&mut self, settled: Vec<(RowKey, ClaimStep)>) {
        for (key, step) in settled {
            for tx in self.waiting.remove(&key).into_iter().flatten() {
                // A caller that went away no longer needs the step.
                let _ = tx.send(step.clone());
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
    pub(crate) fn new(table: Arc<dyn Table>, owner: Owner, now: Instant) -> Self {
        let batcher = ClaimBatcher::new(owner.clone(), mh_once::ClaimLimits::default(), now);
        let state = Mutex::new(State {
            batcher,
            waiting: HashMap::new(),
        });
        Self {
            table,
            owner,
            state,
            pushed: Notify::new(),
        }
    }

    /// Claims that wait for the table.
    pub(crate) fn pending(&self) -> usize {
        lock(&self.state).batcher.pending()
    }

    /// Claims an id and waits for the final step.
    pub(crate) async fn claim(&self, id: &CallerId) -> ClaimStep {
        let rx = {
            let mut state = lock(&self.state);
            let key = match state.batcher.push(Instant::now(), id) {
                PushOutcome::Pending(key) => key,
                PushOutcome::Refuse(code, run) => return ClaimStep::Refuse(code, run),
            };
            let (tx, rx) = oneshot::channel();
            state.waiting.entry(key).or_default().push(tx);
            rx
        };
        self.pushed.notify_one();
        rx.await
            .unwrap_or(ClaimStep::Refuse(Code::TableUnreachable, Run::NotRun))
    }

    /// Writes pending claims until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let (batch, next) = {
                let mut state = lock(&self.state);
                let poll = state.batcher.poll(Instant::now());
                state.settle(poll.settled);
                (poll.batch, state.batcher.next_poll())
            };
            if let Some(batch) = batch {
                tokio::spawn(Arc::clone(&self).write(batch));
                continue;
            }
            tokio::select! {
                () = tokio::time::sleep_until(next.unwrap_or_else(|| Instant::now() + IDLE)) => {}
                () = self.pushed.notified() => {}
            }
        }
    }

    async fn write(self: Arc<Self>, batch: Batch) {
        let commit = batch.rows.iter().fold(Commit::new(), |commit, (key, row)| {
            let value = serde_json::to_string(row).unwrap_or_default();
            commit.with(Write::set(path_of(key), value, Expect::Absent))
        });
        let outcome = match self.table.commit(&commit).await {
            Ok(CommitOutcome::Done { .. }) => BatchOutcome::Committed,
            Ok(CommitOutcome::Conflict { path }) => self.existing(&batch, &path).await,
            Err(e) if e.current_context().0 == Code::OutcomeUnknown => BatchOutcome::Unknown,
            Err(e) => BatchOutcome::NotApplied(e.current_context().0),
        };
        let mut read_back = self.take(&batch, outcome);
        let mut wait = FIRST_READ_BACK;
        while read_back {
            tokio::time::sleep(wait).await;
            wait = (wait * 2).min(MAX_READ_BACK);
            let outcome = self.read_back(&batch).await;
            read_back = self.take(&batch, outcome);
        }
        self.pushed.notify_one();
    }

    fn take(&self, batch: &Batch, outcome: BatchOutcome) -> bool {
        let mut state = lock(&self.state);
        let progress = state.batcher.on_outcome(&batch.write_id, outcome);
        state.settle(progress.settled);
        progress.read_back
    }

    async fn existing(&self, batch: &Batch, path: &str) -> BatchOutcome {
        let Some((key, _)) = batch.rows.iter().find(|(key, _)| path_of(key) == path) else {
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
    /// One row is not enough: an earlier write of this VM that took effect late may have created it alone.
    async fn read_back(&self, batch: &Batch) -> BatchOutcome {
        let mut existing = Vec::new();
        for (key, _) in &batch.rows {
            match self.table.read(&path_of(key)).await {
                Ok(Some(row)) => existing.push((*key, serde_json::from_str::<ClaimRow>(&row.value).ok())),
                Ok(None) => {}
                Err(_) => return BatchOutcome::Unknown,
            }
        }
        let is_own = |row: &Option<ClaimRow>| row.as_ref().is_some_and(|row| row.is_claimed_by(&self.owner));
        if existing.is_empty() {
            BatchOutcome::NotApplied(Code::OutcomeUnknown)
        } else if existing.len() == batch.rows.len() && existing.iter().all(|(_, row)| is_own(row)) {
            BatchOutcome::Committed
        } else {
            BatchOutcome::Conflict(existing)
        }
    }
}

fn path_of(key: &RowKey) -> String {
    format!("{CLAIM_PREFIX}{key}")
}
