use std::collections::HashSet;

use mh_shift::{Change, Rows, Write, WriteId, WriteOutcome};

/// In-memory table with the rows of one shift.
#[derive(Default)]
pub struct Table {
    pub rows: Rows,
    pub ends_created: u32,
    applied: HashSet<WriteId>,
}

impl Table {
    pub fn commit(&mut self, write: &Write) -> WriteOutcome {
        if self.applied.contains(&write.id) {
            return WriteOutcome::Committed;
        }
        let number = self.rows.step.as_ref().map_or(0, |s| s.number);
        if self.rows.end.is_some() || write.expect_step.is_some_and(|n| n != number) {
            return WriteOutcome::Conflict(self.rows.clone());
        }
        match &write.change {
            Change::Step(row) => self.rows.step = Some(row.clone()),
            Change::End(row) => {
                self.ends_created += 1;
                self.rows.end = Some(row.clone());
            }
        }
        self.applied.insert(write.id.clone());
        WriteOutcome::Committed
    }

    pub fn outcome(&self, id: &WriteId) -> WriteOutcome {
        if self.applied.contains(id) {
            WriteOutcome::Committed
        } else {
            WriteOutcome::NotFound
        }
    }
}
