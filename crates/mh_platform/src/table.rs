use std::fmt::Debug;

use crate::{BoxFuture, Commit, CommitOutcome, Result, Row};

/// Client interface of the platform's transactional table.
pub trait Table: Debug + Send + Sync {
    /// Applies conditional writes atomically.
    ///
    /// Errors: [`Code::OutcomeUnknown`](mh_types::Code::OutcomeUnknown) if the writes may have taken effect;
    /// [`Code::BudgetUsedUp`](mh_types::Code::BudgetUsedUp) or
    /// [`Code::TableUnreachable`](mh_types::Code::TableUnreachable) if they did not.
    fn commit<'a>(&'a self, commit: &'a Commit) -> BoxFuture<'a, Result<CommitOutcome>>;

    /// Reads one row; `None` if it does not exist.
    fn read<'a>(&'a self, path: &'a str) -> BoxFuture<'a, Result<Option<Row>>>;

    /// Reads up to `limit` rows whose path starts with `prefix` and sorts after `after`, in path order.
    fn list<'a>(&'a self, prefix: &'a str, after: &'a str, limit: u32) -> BoxFuture<'a, Result<Vec<Row>>>;
}
