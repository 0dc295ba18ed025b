use std::time::Duration;

use jiff::{SignedDuration, Timestamp};
use tokio::time::Instant;

use crate::row_writer::RowWriter;
use crate::{Change, EndRow, Settings, TakeBackReason, TerminalState, VmContext, Write, WriteId, WriteOutcome};

/// Proposes the single terminal state of a shift through one conditional table row.
///
/// The row is created once. `Done` is proposed only until the write margin before the deadline. From the middle of the
/// margin, every VM that knows no terminal state proposes `TakenBack`. The first write that the table applies wins: a
/// `Done` that was delayed in transit conflicts with the existing row. A VM accepts a state only from the table, or
/// from a VM that got it from the table.
#[derive(Debug)]
pub struct TerminalProposer {
    deadline: Timestamp,
    max_clock_skew: Duration,
    write_margin: Duration,
    rank_delay: Duration,
    writer: RowWriter<EndRow>,
    request: Option<TerminalState>,
    known: Option<EndRow>,
}

impl TerminalProposer {
    /// Creates a proposer without a requested state or a known row.
    pub fn new(deadline: Timestamp, context: &VmContext, settings: &Settings) -> Self {
        let rank_delay = (settings.delay_per_rank * context.rank).min(settings.write_margin / 4);
        Self {
            deadline,
            max_clock_skew: settings.max_clock_skew,
            write_margin: settings.write_margin,
            rank_delay,
            writer: RowWriter::new(context.vm.clone(), context.incarnation, 1, 2, settings.write_timeout),
            request: None,
            known: None,
        }
    }

    /// Last wall-clock time at which `Done` may be proposed.
    pub fn done_cutoff(&self) -> Timestamp {
        earlier(self.deadline, self.max_clock_skew + self.write_margin)
    }

    /// Wall-clock time from which this VM uses the old version if it knows no terminal state.
    pub fn old_version_only_at(&self) -> Timestamp {
        earlier(self.deadline, self.max_clock_skew)
    }

    /// Requests a terminal state; `TakenBack` replaces `Done` and is never replaced.
    pub fn request(&mut self, end: TerminalState) {
        if !matches!(self.request, Some(TerminalState::TakenBack(_))) {
            self.request = Some(end);
        }
    }

    /// Terminal state that this VM requests.
    pub fn requested(&self) -> Option<&TerminalState> {
        self.request.as_ref()
    }

    /// Terminal row, once this VM knows it.
    pub fn known(&self) -> Option<&EndRow> {
        self.known.as_ref()
    }

    /// Whether `TakenBack` is due because the shift has not ended by the middle of the write margin.
    pub fn is_overdue(&self, wall: Timestamp) -> bool {
        wall >= earlier(self.deadline, self.max_clock_skew + self.write_margin / 2)
    }

    /// Returns the write to execute now, if any; `step` is the number of the step that `Done` is conditional on.
    pub fn propose(&mut self, now: Instant, wall: Timestamp, step: u64) -> Option<Write> {
        if self.known.is_some() {
            return None;
        }
        if self.is_overdue(earlier(wall, self.rank_delay)) {
            self.request(TerminalState::TakenBack(TakeBackReason::Deadline));
        }
        let end = self.request.clone()?;
        let done = end == TerminalState::Done;
        if done && wall >= self.done_cutoff() {
            return None;
        }
        // A pending write of the same state is read back first; a pending `Done` does not delay `TakenBack`.
        if self
            .writer
            .pending()
            .is_some_and(|p| done || p.end != TerminalState::Done)
        {
            return None;
        }
        let (id, row) = self.writer.begin(now, |write| EndRow { end, write });
        Some(Write {
            id,
            change: Change::End(row),
            expect_step: done.then_some(step),
            not_after: done.then(|| self.done_cutoff()),
        })
    }

    /// Returns the write whose outcome must be read back now, if any.
    pub fn read_back(&mut self, now: Instant) -> Option<WriteId> {
        if self.known.is_some() {
            return None;
        }
        self.writer.read_back(now)
    }

    /// Applies the outcome of a write or of its read-back.
    pub fn on_outcome(&mut self, id: &WriteId, outcome: &WriteOutcome) {
        let committed = self.writer.resolve(id, outcome);
        let existing = if let WriteOutcome::Conflict(rows) = outcome {
            rows.end.clone()
        } else {
            None
        };
        if let Some(row) = committed.or(existing) {
            self.record(row);
        }
    }

    /// Records the terminal row from the table or from another VM; the row never changes, so the first one is kept.
    pub fn record(&mut self, row: EndRow) {
        self.known.get_or_insert(row);
    }
}

fn earlier(at: Timestamp, by: Duration) -> Timestamp {
    let by = SignedDuration::try_from(by).unwrap_or(SignedDuration::MAX);
    at.checked_sub(by).unwrap_or(Timestamp::MIN)
}
