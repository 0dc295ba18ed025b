use std::time::Duration;

use mh_types::Code;

use crate::{Commit, CommitOutcome, Result, Table};

/// Delay before the first retry of a commit with an unknown outcome; it doubles with each retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum delay between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Commits, and retries the same commit while its outcome is unknown, with up to `max_attempts` attempts in total.
///
/// Every write must be conditional, and one of them must contain a write id. A retry may conflict with the caller's own
/// earlier attempt; the caller detects this by reading the row with the write id.
///
/// # Errors
///
/// Same as [`Table::commit`]. Returns [`Code::OutcomeUnknown`] if the outcome is still unknown after the last attempt,
/// and also for any failure that follows an attempt with an unknown outcome.
pub async fn commit_with_retries(table: &dyn Table, commit: &Commit, max_attempts: u32) -> Result<CommitOutcome> {
    let mut backoff = INITIAL_BACKOFF;
    let mut unknown_error = None;
    for _ in 0..max_attempts.max(1) {
        match table.commit(commit).await {
            Ok(outcome) => return Ok(outcome),
            Err(e) if e.current_context().0 == Code::OutcomeUnknown => unknown_error = Some(e),
            Err(e) if unknown_error.is_none() => return Err(e),
            Err(_) => {}
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    Err(unknown_error.unwrap_or_else(|| error_stack::Report::new(crate::PlatformError(Code::OutcomeUnknown))))
}
