use std::sync::Arc;
use std::time::Duration;

use mh_types::VmName;
use tokio::time::Instant;

use crate::{Ack, CallOutcome, Token};
use crate::{Collector, Counts, Duty, DutyHolder, DutyRow, Fleet, Params, Reports, StoredUsage, WindowRecord};

/// Shortest time between the end of a window and its record, for requests that servers refuse at once, for messages in
/// flight and for clocks that differ slightly.
pub(crate) const MIN_RECORD_DELAY: Duration = Duration::from_secs(1);

/// Time after a claim in which all VMs learn of the holder and send their counts: changes of the VM table gather for
/// 1.5 s, and counts are sent once a second.
const COLLECT_TIME: Duration = Duration::from_secs(3);

/// Reasons to ask the store whether this VM still holds the duty.
#[derive(Debug, Default)]
struct Doubt {
    /// Whether the store must confirm the duty before the next record or call.
    needs_check: bool,
    /// Whether the feed no longer delivers the row of this claim.
    is_row_replaced: bool,
    /// Whether another VM may have held the duty since the store last confirmed it, unnoticed by this one: the process
    /// was paused or may have been cut off.
    may_have_been_replaced: bool,
}

/// The VM holds the duty.
#[derive(Debug)]
pub struct Holding {
    row: DutyRow,
    collector: Collector,
    reports: Reports,
    /// Next window to record.
    next_window: u64,
    /// First window that is recorded even if no VM counted anything in it.
    first_own_window: u64,
    /// Record whose write has no confirmed result; its counts no longer change.
    recording: Option<WindowRecord>,
    /// Wall time until which windows that are overdue wait for the VMs' counts.
    collects_until: Duration,
    last_tick: Instant,
    /// Whether the feed has delivered the row of this claim.
    has_seen_row: bool,
    doubt: Doubt,
    /// Windows that are still stored.
    stored_windows: Vec<u64>,
}

impl Holding {
    pub(crate) fn new(now: Instant, wall: Duration, params: &Params, row: DutyRow, stored: &StoredUsage) -> Self {
        let current = params.window_at(wall);
        let last_stored = stored.windows.iter().map(|record| record.window).max();
        let first = params.oldest_window(wall).max(row.first_window);
        let next_window = last_stored.map_or(first, |last| first.max(last + 1));
        let mut reports = Reports::default();
        let oldest = params.oldest_window(wall);
        for record in stored.windows.iter().filter(|record| record.window >= oldest) {
            reports.push(now, record.clone());
        }
        Self {
            collector: Collector::new(row.token, next_window),
            reports,
            next_window,
            first_own_window: last_stored.map_or(current, |last| current.min(last + 1)),
            recording: None,
            collects_until: wall + COLLECT_TIME,
            last_tick: now,
            has_seen_row: false,
            doubt: Doubt::default(),
            stored_windows: stored.windows.iter().map(|record| record.window).collect(),
            row,
        }
    }

    /// Goes on with another token after a restore of the store; this process knows which windows were recorded.
    pub(crate) fn renew(self, now: Instant, wall: Duration, row: DutyRow, stored: &StoredUsage) -> Self {
        let next_window = self.next_window.max(row.first_window);
        Self {
            collector: Collector::new(row.token, next_window),
            next_window,
            recording: self.recording.filter(|record| record.window >= next_window),
            collects_until: wall + COLLECT_TIME,
            last_tick: now,
            has_seen_row: false,
            doubt: Doubt::default(),
            stored_windows: stored.windows.iter().map(|record| record.window).collect(),
            row,
            ..self
        }
    }
}

impl DutyHolder<Holding> {
    /// Returns the row of the duty as written.
    pub fn row(&self) -> &DutyRow {
        &self.state.row
    }

    /// Returns the token.
    pub fn token(&self) -> Token {
        self.state.row.token
    }

    /// Returns the reports to send.
    pub fn reports(&self) -> &Reports {
        &self.state.reports
    }

    /// Returns the next window to record.
    pub fn next_window(&self) -> u64 {
        self.state.next_window
    }

    /// Applies a VM's counts.
    pub fn on_counts(&mut self, now: Instant, from: &VmName, msg: &Counts) -> Option<Ack> {
        self.state.collector.on_counts(now, from, msg)
    }

    /// Notes the time. The store must confirm the duty before the next record or call if the process was paused or may be
    /// cut off, or if the feed names another holder.
    pub fn on_tick(&mut self, now: Instant, known: Option<&DutyRow>, fleet: Fleet<'_>) {
        let gap = now.saturating_duration_since(self.state.last_tick);
        let own = &self.state.row;
        self.state.has_seen_row |= known.is_some_and(|row| row.token == own.token);
        let is_later = known.is_some_and(|row| row.version.era > own.version.era || row.token > own.token);
        let is_missing = self.state.has_seen_row && known.is_none_or(|row| row.token != own.token);
        self.state.doubt.is_row_replaced = is_later || is_missing;
        self.state.last_tick = now;
        self.state.doubt.may_have_been_replaced |= gap > self.params.thaw_slack || !fleet.has_quorum();
        self.state.doubt.needs_check |= self.state.doubt.may_have_been_replaced || self.state.doubt.is_row_replaced;
    }

    /// Returns whether to read the store now: to confirm the duty before a record or a call that is due, or to write it
    /// again before others claim it after a restore.
    pub fn should_check(&self, now: Instant, wall: Duration, fleet: Fleet<'_>) -> bool {
        let is_recordable = self.state.recording.is_some() || self.is_recordable(self.state.next_window, wall, fleet);
        self.state.doubt.needs_check
            && (self.state.doubt.is_row_replaced || is_recordable || self.state.reports.is_due(now))
    }

    /// Applies a read of the store: the duty goes on, or another VM holds it, or the store was restored since the claim
    /// and the claim is to be written again.
    pub fn on_checked(mut self, now: Instant, wall: Duration, stored: &StoredUsage) -> Duty {
        let is_later_era = stored.era > self.state.row.token.era();
        let is_claimed_since = stored
            .duty
            .as_ref()
            .is_some_and(|row| row.token.era() == stored.era && is_later_era || row.token > self.state.row.token);
        if is_claimed_since {
            return Duty::Waiting(self.step_down());
        }
        if is_later_era {
            let vm = DutyHolder {
                vm: self.vm,
                params: self.params,
                state: (),
            };
            // The windows that this process recorded, or that another holder may have, must not be recorded again.
            let first_open = self.params.window_at(wall + MIN_RECORD_DELAY);
            let recorded = self.state.next_window;
            let first_window = if self.state.doubt.may_have_been_replaced {
                recorded.max(first_open)
            } else {
                recorded
            };
            return Duty::Claiming(Box::new(vm.claim_from(stored, first_window, Some(self.state))));
        }
        if stored.duty.as_ref() != Some(&self.state.row) {
            return Duty::Waiting(self.step_down());
        }
        let recording = self.state.recording.as_ref().map(|record| record.window);
        let recorded = stored.windows.iter().find(|record| Some(record.window) == recording);
        if let Some(recorded) = recorded {
            self.state.recording = Some(recorded.clone());
            self.on_recorded(now);
        }
        self.state.doubt = Doubt::default();
        self.state.last_tick = now;
        Duty::Holding(Box::new(self))
    }

    /// Returns the next window whose counts to write to the store. After a write without a confirmed result it is the
    /// same record again.
    pub fn next_record(&mut self, wall: Duration, fleet: Fleet<'_>) -> Option<WindowRecord> {
        if self.state.doubt.needs_check {
            return None;
        }
        if self.state.recording.is_none() {
            let oldest = self.params.oldest_window(wall);
            if oldest > self.state.next_window {
                self.skip_to(oldest);
            }
            while self.is_recordable(self.state.next_window, wall, fleet) {
                let record = self.state.collector.total(self.state.next_window);
                // Windows from before the duty in which no VM counted anything are left out.
                if record.window >= self.state.first_own_window || !record.counts.is_empty() {
                    self.state.recording = Some(record);
                    break;
                }
                self.skip_to(record.window + 1);
            }
        }
        self.state.recording.clone()
    }

    fn skip_to(&mut self, window: u64) {
        self.state.next_window = window;
        self.state.collector.close_before(window);
    }

    /// Returns whether the counts of `window` are complete, or no more time is left for them.
    fn is_recordable(&self, window: u64, wall: Duration, fleet: Fleet<'_>) -> bool {
        let is_over = wall >= self.params.end_of(window) + MIN_RECORD_DELAY;
        let is_due = wall >= self.params.record_by(window).max(self.state.collects_until);
        is_over && (is_due || self.state.collector.is_complete(window, fleet.alive))
    }

    /// Returns the stored windows that are reported or too old, to be removed with the next record. The newest one is
    /// kept, as it tells a later holder where to go on.
    pub fn removable_windows(&self, wall: Duration) -> Vec<u64> {
        let end = self.state.reports.first_pending().unwrap_or(u64::MAX);
        let newest = self.state.stored_windows.iter().max().copied().unwrap_or_default();
        let end = end.max(self.params.oldest_window(wall)).min(newest);
        let windows = self.state.stored_windows.iter().copied();
        windows.filter(|window| *window < end).collect()
    }

    /// Notes that the store no longer holds `windows`.
    pub fn on_removed(&mut self, windows: &[u64]) {
        self.state.stored_windows.retain(|window| !windows.contains(window));
    }

    /// Notes that the last record is stored; returns the VMs whose last counts it lacks.
    pub fn on_recorded(&mut self, now: Instant) -> Vec<VmName> {
        let Some(record) = self.state.recording.take() else {
            return Vec::new();
        };
        self.state.next_window = record.window + 1;
        self.state.stored_windows.push(record.window);
        self.state.reports.push(now, record);
        self.state.collector.close_before(self.state.next_window)
    }

    /// Notes that the store must be read before anything else is done.
    pub fn require_check(&mut self) {
        self.state.doubt.needs_check = true;
    }

    /// Returns the report to send now.
    pub fn next_call(&mut self, now: Instant) -> Option<Arc<WindowRecord>> {
        let is_paused = now.saturating_duration_since(self.state.last_tick) > self.params.thaw_slack;
        if self.state.doubt.needs_check || is_paused {
            return None;
        }
        self.state.reports.next_call(now, &self.params)
    }

    /// Applies the result of a call. A refused token is gone with the state.
    pub fn on_called(mut self, now: Instant, window: u64, outcome: CallOutcome) -> Duty {
        if outcome == CallOutcome::Fenced {
            return Duty::Waiting(self.step_down());
        }
        self.state.reports.on_result(now, window, outcome);
        Duty::Holding(Box::new(self))
    }

    /// Gives up reports that are too old; returns their windows.
    pub fn expire(&mut self, wall: Duration) -> Vec<u64> {
        self.state.reports.expire_before(self.params.oldest_window(wall))
    }
}
