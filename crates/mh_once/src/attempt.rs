use std::marker::PhantomData;
use std::sync::Arc;

use tokio::time::Instant;

use crate::answer::Answer;
use crate::attempt_outcome::AttemptOutcome;
use crate::not_run::NotRun;
use crate::record_key::RecordKey;
use crate::table_state::TableState;

/// State of an [`Attempt`] whose request has not left the VM.
#[derive(Debug)]
pub struct Ready(());

/// State of an [`Attempt`] whose request may have reached a backend server.
#[derive(Debug)]
pub struct InFlight(());

/// Permission to run one operation once.
///
/// Dropping an `Attempt<Ready>` releases the id for another request. Dropping an `Attempt<InFlight>` records "unknown",
/// so the operation does not run again after its caller disconnects or its handler panics.
///
/// An attempt that was sent cannot be abandoned:
///
/// ```compile_fail,E0599
/// # use mh_once::{Attempt, Ready};
/// fn f(attempt: Attempt<Ready>) {
///     attempt.send().abandon();
/// }
/// ```
///
/// nor abandoned after `send()` through the old handle:
///
/// ```compile_fail,E0382
/// # use mh_once::{Attempt, Ready};
/// fn f(attempt: Attempt<Ready>) {
///     let sending = attempt.send();
///     attempt.abandon();
/// }
/// ```
///
/// sent twice:
///
/// ```compile_fail,E0382
/// # use mh_once::{Attempt, Ready};
/// fn f(attempt: Attempt<Ready>) {
///     let first = attempt.send();
///     let second = attempt.send();
/// }
/// ```
///
/// copied:
///
/// ```compile_fail,E0599
/// # use mh_once::{Attempt, Ready};
/// fn f(attempt: &Attempt<Ready>) -> Attempt<Ready> {
///     attempt.clone()
/// }
/// ```
///
/// or answered before it was sent:
///
/// ```compile_fail,E0599
/// # use mh_once::{Answer, Attempt, Ready};
/// fn f(attempt: Attempt<Ready>, now: tokio::time::Instant, answer: Answer) {
///     attempt.finish(now, answer);
/// }
/// ```
#[derive(Debug)]
#[must_use = "dropping an attempt ends it"]
pub struct Attempt<S> {
    guard: AttemptGuard,
    state: PhantomData<S>,
}

impl Attempt<Ready> {
    pub(crate) fn new(table: Arc<TableState>, key: RecordKey) -> Self {
        Self {
            guard: AttemptGuard {
                table,
                key,
                sent: false,
                ended: false,
            },
            state: PhantomData,
        }
    }

    /// Marks the attempt as sent; call it before the first byte can leave the VM.
    pub fn send(mut self) -> Attempt<InFlight> {
        self.guard.sent = true;
        Attempt {
            guard: self.guard,
            state: PhantomData,
        }
    }

    /// Abandons the attempt and releases the id for another request.
    pub fn abandon(self) -> NotRun {
        drop(self);
        NotRun(())
    }
}

impl Attempt<InFlight> {
    /// Records the backend server's answer and passes it to all waiters.
    pub fn finish(mut self, now: Instant, answer: Answer) -> Arc<Answer> {
        self.guard.ended = true;
        self.guard.table.finish(self.guard.key, now, answer)
    }

    /// Records that the operation may have run and that there will be no answer.
    pub fn unknown(mut self, now: Instant) {
        self.guard.ended = true;
        self.guard
            .table
            .end_attempt(self.guard.key, Some(now), AttemptOutcome::Unknown, None);
    }
}

#[derive(Debug)]
struct AttemptGuard {
    table: Arc<TableState>,
    key: RecordKey,
    sent: bool,
    ended: bool,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.ended {
            let outcome = if self.sent {
                AttemptOutcome::Unknown
            } else {
                AttemptOutcome::Abandoned
            };
            self.table.end_attempt(self.key, None, outcome, None);
        }
    }
}
