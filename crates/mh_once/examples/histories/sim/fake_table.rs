use std::collections::HashMap;

use mh_once::{Batch, BatchOutcome, ClaimRow, RowKey, WriteId};
use mh_types::Code;

/// In-memory stand-in for the platform table, with atomic conditional creates and outcomes by write id.
#[derive(Default)]
pub struct FakeTable {
    rows: HashMap<RowKey, ClaimRow>,
    outcomes: HashMap<WriteId, BatchOutcome>,
    pub down: bool,
    pub writes: usize,
}

impl FakeTable {
    pub fn commit(&mut self, batch: &Batch) -> BatchOutcome {
        self.writes += 1;
        let exists = |(key, _): &(RowKey, ClaimRow)| self.rows.get(key).map(|row| (*key, Some(row.clone())));
        let conflicts: Vec<_> = batch.rows.iter().filter_map(exists).collect();
        let outcome = if conflicts.is_empty() {
            self.rows.extend(batch.rows.iter().cloned());
            BatchOutcome::Committed
        } else {
            BatchOutcome::Conflict(conflicts)
        };
        self.outcomes.insert(batch.write_id.clone(), outcome.clone());
        outcome
    }

    pub fn outcome(&self, id: &WriteId) -> BatchOutcome {
        if self.down {
            return BatchOutcome::Unknown;
        }
        self.outcomes
            .get(id)
            .cloned()
            .unwrap_or(BatchOutcome::NotApplied(Code::OutcomeUnknown))
    }
}
