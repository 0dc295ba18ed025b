use std::time::Duration;

use tokio::time::Instant;

use crate::pacer::Pacer;
use crate::{ServerLimit, Statement};

/// What a VM knows of one server's limit.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) statement: Statement,
    /// When this VM last learned that the server states the limit.
    pub(crate) stated_at: Instant,
    /// Time until which no request is admitted, as the VM that admits them said.
    pub(crate) full_until: Option<Instant>,
    /// Bucket of the requests that this VM admits; `None` if it has not admitted any.
    pub(crate) pacer: Option<Pacer>,
}

impl Entry {
    pub(crate) fn new(statement: Statement, now: Instant) -> Self {
        Self {
            statement,
            stated_at: now,
            full_until: None,
            pacer: None,
        }
    }

    /// Replaces the limit with one that an answer of the same process stated.
    pub(crate) fn change_limit(&mut self, limit: Option<ServerLimit>, now: Instant) {
        self.replace(
            Statement {
                change: self.statement.change.saturating_add(1),
                limit,
                ..self.statement.clone()
            },
            now,
        );
    }

    /// Replaces the statement; the bucket of another process of the server is dropped.
    pub(crate) fn replace(&mut self, statement: Statement, now: Instant) {
        if statement.run != self.statement.run {
            self.pacer = None;
        }
        self.statement = statement;
        self.stated_at = now;
        self.full_until = None;
    }

    /// Returns the time until which no request is admitted, if it lies after `now`.
    pub(crate) fn full_for(&self, now: Instant) -> Option<Duration> {
        let left = self.full_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }
}
