use std::sync::Arc;

use jiff::Timestamp;
use mh_platform::{Commit, CommitOutcome, Expect, Row, Write};
use mh_shift::{Change, EndRow, Rows, StepRow, WriteId, WriteOutcome};
use mh_types::Code;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use super::{NO_ROWS, ShiftId};
use crate::Node;

/// Path prefix of the shift rows.
const SHIFT_ROW_PREFIX: &str = "/mangohook/shifts/";

/// Step and end rows of a shift, with the version of the step row.
struct VersionedRows {
    rows: Rows,
    step_version: Option<u64>,
}

impl Node {
    /// Advances every shift, and starts the table reads and writes that it requests.
    pub(crate) fn step_shifts(self: &Arc<Self>) {
        let (now, wall_now) = (Instant::now(), Timestamp::now());
        for (id, active) in self.shifts.active.lock().iter_mut() {
            let shift = &mut active.shift;
            shift.evaluate(now, wall_now);
            for write in shift.writes(now, wall_now) {
                tokio::spawn(Arc::clone(self).write_shift(id.clone(), write));
            }
            for write_id in shift.read_backs(now) {
                tokio::spawn(Arc::clone(self).read_back_shift(id.clone(), write_id));
            }
            if !active.rows_read || shift.needs_rows(now) {
                // Set before the answer arrives, so that the next steps do not read again meanwhile.
                active.rows_read = true;
                tokio::spawn(Arc::clone(self).read_shift(id.clone()));
            }
        }
    }

    async fn read_shift(self: Arc<Self>, id: ShiftId) {
        let read = self.shift_rows(&id).await;
        if let Some(active) = self.shifts.active.lock().get_mut(&id) {
            match read {
                Ok(read) => active.shift.on_rows(Instant::now(), read.rows),
                Err(_) => active.rows_read = false,
            }
        }
    }

    async fn write_shift(self: Arc<Self>, id: ShiftId, write: mh_shift::Write) {
        let outcome = self.try_write_shift(&id, &write).await;
        self.report_shift_outcome(&id, &write.id, outcome);
    }

    async fn try_write_shift(&self, id: &ShiftId, write: &mh_shift::Write) -> WriteOutcome {
        let Ok(read) = self.shift_rows(id).await else {
            return WriteOutcome::Unknown;
        };
        let step_number = read.rows.step.as_ref().map_or(0, |step| step.number);
        if read.rows.end.is_some() || write.expect_step.is_some_and(|expected| expected != step_number) {
            return WriteOutcome::Conflict(read.rows);
        }
        let step_expect = read.step_version.map_or(Expect::Absent, Expect::Version);
        let (step_path, end_path) = (step_path(id), end_path(id));
        let commit = match &write.change {
            Change::Step(row) => Commit::new()
                .with(Write::set(step_path, encode(row), step_expect))
                .check(end_path, Expect::Absent),
            Change::End(row) => {
                let commit = Commit::new().with(Write::set(end_path, encode(row), Expect::Absent));
                if write.expect_step.is_some() {
                    commit.check(step_path, step_expect)
                } else {
                    commit
                }
            }
        };
        if write.not_after.is_some_and(|limit| Timestamp::now() > limit) {
            return WriteOutcome::NotFound;
        }
        match self.store.table.commit(&commit).await {
            Ok(CommitOutcome::Done { .. }) => WriteOutcome::Committed,
            Ok(CommitOutcome::Conflict { .. }) => match self.shift_rows(id).await {
                Ok(read) => WriteOutcome::Conflict(read.rows),
                Err(_) => WriteOutcome::Conflict(NO_ROWS),
            },
            Err(e) if e.current_context().0 == Code::OutcomeUnknown => WriteOutcome::Unknown,
            Err(_) => WriteOutcome::NotFound,
        }
    }

    async fn read_back_shift(self: Arc<Self>, id: ShiftId, write_id: WriteId) {
        let Ok(read) = self.shift_rows(&id).await else {
            return self.report_shift_outcome(&id, &write_id, WriteOutcome::Unknown);
        };
        let is_in_step_row = read.rows.step.as_ref().is_some_and(|row| row.write == write_id);
        let is_in_end_row = read.rows.end.as_ref().is_some_and(|row| row.write == write_id);
        if let Some(active) = self.shifts.active.lock().get_mut(&id) {
            active.shift.on_rows(Instant::now(), read.rows);
        }
        let outcome = if is_in_step_row || is_in_end_row {
            WriteOutcome::Committed
        } else {
            WriteOutcome::NotFound
        };
        self.report_shift_outcome(&id, &write_id, outcome);
    }

    fn report_shift_outcome(&self, id: &ShiftId, write_id: &WriteId, outcome: WriteOutcome) {
        if let Some(active) = self.shifts.active.lock().get_mut(id) {
            active.shift.on_outcome(Instant::now(), write_id, outcome);
        }
        self.heartbeat_now.notify_one();
    }

    async fn shift_rows(&self, id: &ShiftId) -> mh_platform::Result<VersionedRows> {
        // The end row is read last: once it exists it never changes, so the pair is never older than the step row.
        let step = self.store.table.read(&step_path(id)).await?;
        let end = self.store.table.read(&end_path(id)).await?;
        let step_version = step.as_ref().map(|row| row.version);
        let rows = Rows {
            step: decode::<StepRow>(step)?,
            end: decode::<EndRow>(end)?,
        };
        Ok(VersionedRows { rows, step_version })
    }
}

fn encode(row: &impl serde::Serialize) -> String {
    serde_json::to_string(row).unwrap_or_default()
}

fn decode<T: DeserializeOwned>(row: Option<Row>) -> mh_platform::Result<Option<T>> {
    let undecodable = |e| error_stack::Report::new(e).change_context(mh_platform::PlatformError(Code::RowUndecodable));
    row.map(|row| serde_json::from_str(&row.value).map_err(undecodable))
        .transpose()
}

fn step_path((name, created): &ShiftId) -> String {
    format!("{SHIFT_ROW_PREFIX}{name}/{created}/step")
}

fn end_path((name, created): &ShiftId) -> String {
    format!("{SHIFT_ROW_PREFIX}{name}/{created}/end")
}
