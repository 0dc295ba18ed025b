use std::sync::Arc;
use std::time::Duration;

use jiff::Timestamp;
use mh_types::{DomainName, RouteName, VmName};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::fleet_evidence::FleetEvidence;
use crate::local_evidence::LocalEvidence;
use crate::majority_lease::MajorityLease;
use crate::row_writer::RowWriter;
use crate::test_parameters::TestParameters;
use crate::version_selector::VersionSelector;
use crate::{
    Change, Decision, EndRow, Evidence, Fault, Fraction, Rows, Sample, Settings, ShiftSpec, Side, SpecError, Stage,
    State, StepRow, TakeBackReason, TerminalProposer, TerminalState, VmContext, Write, WriteId, WriteOutcome,
};

/// One version shift, as run by one VM.
///
/// The request path uses [`pick`](Self::pick) and [`observe`](Self::observe), or the same methods of the shared
/// [`selector`](Self::selector). The control path calls [`evaluate`](Self::evaluate) several times a second, then
/// executes the [`writes`](Self::writes) and [`read_backs`](Self::read_backs), and exchanges
/// [`evidence`](Self::evidence) with the other VMs.
#[derive(Debug)]
pub struct Shift {
    spec: ShiftSpec,
    settings: Settings,
    context: VmContext,
    layout: u64,
    selector: Arc<VersionSelector>,
    local_evidence: LocalEvidence,
    fleet_evidence: FleetEvidence,
    majority_lease: MajorityLease,
    state: State,
    terminal: TerminalProposer,
    step_writer: RowWriter<StepRow>,
    stop_reason: Option<TakeBackReason>,
    step_started: Instant,
    ready_since: Option<Instant>,
    last_evaluated_at: Option<Instant>,
    total_time: Option<Duration>,
    seq: u64,
    decision: Decision,
    table_answered_at: Option<Instant>,
}

impl Shift {
    /// Creates a shift in the stage before its first step.
    ///
    /// # Errors
    ///
    /// [`SpecError`] when the specification is invalid.
    pub fn new(now: Instant, spec: ShiftSpec, settings: Settings, context: VmContext) -> Result<Self, SpecError> {
        spec.check()?;
        let selector = VersionSelector::new(now, &context, spec.guard.max_latency_factor);
        let (routes, domains) = (selector.routes().len(), selector.domains().len());
        let own_domain = selector.domains().binary_search(&context.domain).unwrap_or(0);
        let names = selector.routes().iter().map(RouteName::as_str).chain([""]);
        let names = names.chain(selector.domains().iter().map(DomainName::as_str));
        Ok(Self {
            layout: fnv1a(names),
            local_evidence: LocalEvidence::new(now, &selector, &spec.guard, &settings),
            fleet_evidence: FleetEvidence::new(
                routes,
                domains,
                TestParameters::new(&spec.guard),
                settings.false_alarm_probability,
            ),
            majority_lease: MajorityLease::new(settings.contact_lease, own_domain, domains),
            state: State::Planned(Stage::new()),
            terminal: TerminalProposer::new(spec.deadline, &context, &settings),
            step_writer: RowWriter::new(context.vm.clone(), context.incarnation, 0, 2, settings.write_timeout),
            stop_reason: None,
            step_started: now,
            ready_since: None,
            last_evaluated_at: None,
            total_time: None,
            seq: 0,
            decision: Decision::Hold,
            table_answered_at: None,
            selector: Arc::new(selector),
            spec,
            settings,
            context,
        })
    }

    /// Picks the version for one request, with atomics only.
    pub fn pick(&self, now: Instant, route: &RouteName) -> Side {
        self.selector.pick(now, route)
    }

    /// Counts the result of one request, with atomics only.
    pub fn observe(&self, sample: &Sample<'_>) {
        self.selector.observe(sample);
    }

    /// Returns the part that the request path shares.
    pub fn selector(&self) -> Arc<VersionSelector> {
        Arc::clone(&self.selector)
    }

    /// Specification of the shift.
    pub fn spec(&self) -> &ShiftSpec {
        &self.spec
    }

    /// Stage of the shift, as this VM knows it.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Reason for which this VM stopped using the new version, possibly before the terminal state is known.
    pub fn stop_reason(&self) -> Option<&TakeBackReason> {
        self.stop_reason.as_ref()
    }

    /// Returns the evidence and rows that this VM sends to the other VMs.
    pub fn evidence(&mut self) -> Evidence {
        self.seq += 1;
        let domain_new = self.local_evidence.domain_new().iter().enumerate();
        Evidence {
            vm: self.context.vm.clone(),
            incarnation: self.context.incarnation,
            domain: self.context.domain.clone(),
            seq: self.seq,
            layout: self.layout,
            scores: self.local_evidence.scores().into(),
            domain_new: domain_new
                .filter(|(_, n)| **n > 0)
                .map(|(d, n)| (d as u16, *n))
                .collect(),
            rows: Rows {
                step: self.state.step().cloned(),
                end: self.terminal.known().cloned(),
            },
            stop: self.stop_reason.clone(),
        }
    }

    /// Merges evidence that `from` sent, its own or another VM's. Duplicate, late and reordered messages are harmless.
    ///
    /// `asked_at` is the time at which this VM asked for it, or an earlier time. The contact lease starts then.
    pub fn merge(&mut self, now: Instant, asked_at: Instant, from: &VmName, evidence: &Evidence) {
        if *from == evidence.vm
            && let Ok(domain) = self.selector.domains().binary_search(&evidence.domain)
        {
            self.majority_lease.record_answer(domain, asked_at.min(now));
        }
        if evidence.layout == self.layout && evidence.vm != self.context.vm {
            let domain_new = evidence.domain_new.iter().map(|(d, n)| (usize::from(*d), *n));
            self.fleet_evidence.apply(
                &evidence.vm,
                evidence.incarnation,
                evidence.seq,
                &evidence.scores,
                domain_new,
            );
        }
        if let Some(reason) = &evidence.stop {
            self.on_stop(reason.clone());
        }
        self.apply_rows(now, evidence.rows.clone());
        self.check_fault();
    }

    /// Stops at once because another VM has stopped: it detected a fault, or an operator took the shift back there.
    ///
    /// The first VM to stop sends its reason to all others at once; the exchange of evidence repeats it.
    pub fn on_stop(&mut self, reason: TakeBackReason) {
        self.stop(reason);
    }

    /// Stops at once because another VM has detected a fault.
    pub fn on_fault(&mut self, fault: Fault) {
        self.stop(TakeBackReason::Fault(fault));
    }

    /// Stops at once because an operator takes the shift back.
    ///
    /// The take-back is confirmed to the operator only when [`state`](Self::state) shows it, because `Done` may have
    /// been written just before.
    pub fn take_back(&mut self) {
        self.stop(TakeBackReason::Operator);
    }

    /// Lowers the cap at once; a value above the current cap changes nothing.
    pub fn lower_cap(&mut self, cap: Fraction) {
        self.spec.cap = self.spec.cap.min(cap);
        self.apply_share();
    }

    /// Applies rows read from the table.
    pub fn on_rows(&mut self, now: Instant, rows: Rows) {
        self.table_answered_at = Some(now);
        self.apply_rows(now, rows);
    }

    /// Whether the rows must be read from the table now, because `Done` is to be written and the table has not answered
    /// within the write timeout.
    ///
    /// A `Done` sent during a table outage may take effect after it, when the deadline has passed.
    pub fn needs_rows(&self, now: Instant) -> bool {
        self.decision == Decision::Finish && !self.has_table_answered_recently(now)
    }

    fn has_table_answered_recently(&self, now: Instant) -> bool {
        self.table_answered_at
            .is_some_and(|at| now.saturating_duration_since(at) < self.settings.write_timeout)
    }

    fn apply_rows(&mut self, now: Instant, rows: Rows) {
        if let Some(row) = rows.step
            && row.number > self.state.step_number()
        {
            let before = self.state.step_number();
            self.state = std::mem::replace(&mut self.state, State::Planned(Stage::new())).on_step(row);
            if self.state.step_number() > before {
                self.fleet_evidence.on_step(self.spec.steps.len());
                self.step_started = now;
                self.ready_since = None;
                self.apply_share();
            }
        }
        if let Some(row) = rows.end {
            self.terminal.record(row);
        }
        self.apply_end();
    }

    /// Evaluates the evidence and decides on the next change; also extends or ends the time for which the selector
    /// may pick the new version.
    ///
    /// `wall` is this VM's wall clock, which is off by at most [`Settings::max_clock_skew`].
    pub fn evaluate(&mut self, now: Instant, wall: Timestamp) -> Decision {
        self.update_evidence(now, wall);
        self.check_fault();
        self.extend_new_version_use(now, wall);
        self.decision = self.decide(now, wall);
        match &self.decision {
            Decision::Finish => self.terminal.request(TerminalState::Done),
            Decision::TakeBack(reason) => self.terminal.request(TerminalState::TakenBack(reason.clone())),
            Decision::Hold | Decision::StepTo(_) => {}
        }
        self.state = std::mem::replace(&mut self.state, State::Planned(Stage::new())).on_decision(&self.decision);
        self.decision.clone()
    }

    /// Returns the table writes to execute for the last decision.
    pub fn writes(&mut self, now: Instant, wall: Timestamp) -> SmallVec<[Write; 2]> {
        let mut writes = SmallVec::new();
        let number = self.state.step_number();
        if let Decision::StepTo(share) = self.decision
            && self.terminal.known().is_none()
            && self.step_writer.pending().is_none()
        {
            let (id, row) = self.step_writer.begin(now, |write| StepRow {
                number: number + 1,
                share,
                write,
            });
            let not_after = Some(self.terminal.done_cutoff());
            writes.push(Write {
                id,
                change: Change::Step(row),
                expect_step: Some(number),
                not_after,
            });
        }
        if self.decision != Decision::Finish || self.has_table_answered_recently(now) {
            writes.extend(self.terminal.propose(now, wall, number));
        }
        writes
    }

    /// Returns the writes whose outcome must be read back from the table now.
    pub fn read_backs(&mut self, now: Instant) -> SmallVec<[WriteId; 2]> {
        self.step_writer
            .read_back(now)
            .into_iter()
            .chain(self.terminal.read_back(now))
            .collect()
    }

    /// Applies the outcome of a write or of its read-back.
    pub fn on_outcome(&mut self, now: Instant, id: &WriteId, outcome: WriteOutcome) {
        if outcome != WriteOutcome::Unknown {
            self.table_answered_at = Some(now);
        }
        let step = self.step_writer.resolve(id, &outcome);
        self.terminal.on_outcome(id, &outcome);
        let rows = if let WriteOutcome::Conflict(rows) = outcome {
            rows
        } else {
            Rows::default()
        };
        self.apply_rows(
            now,
            Rows {
                step: step.or(rows.step),
                end: rows.end,
            },
        );
    }

    fn update_evidence(&mut self, now: Instant, wall: Timestamp) {
        if self.local_evidence.try_close_interval(now, &self.selector) {
            self.seq += 1;
            let domain_new = self.local_evidence.domain_new().iter().copied().enumerate();
            let scores = self.local_evidence.scores();
            self.fleet_evidence.apply(
                &self.context.vm,
                self.context.incarnation,
                self.seq,
                &scores,
                domain_new,
            );
        }
        let left = Duration::try_from(self.spec.deadline.duration_since(wall)).unwrap_or_default();
        let total = *self.total_time.get_or_insert(left);
        let since = self
            .last_evaluated_at
            .replace(now)
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        if !total.is_zero() {
            self.fleet_evidence
                .on_time_passed((since.as_secs_f64() / total.as_secs_f64()).min(1.0));
        }
    }

    fn check_fault(&mut self) {
        if self.stop_reason.is_none()
            && !self.state.is_terminal()
            && let Some((scope, kind)) = self.fleet_evidence.fault()
        {
            let route = self.selector.routes().get(scope).cloned();
            self.stop(TakeBackReason::Fault(Fault {
                kind,
                route,
                by: self.context.vm.clone(),
            }));
        }
    }

    fn extend_new_version_use(&self, now: Instant, wall: Timestamp) {
        let left = Duration::try_from(self.terminal.old_version_only_at().duration_since(wall)).unwrap_or_default();
        let until = self.majority_lease.expires_at(now).map(|at| at.min(now + left));
        self.selector.allow_new_version_until(until);
    }

    fn decide(&mut self, now: Instant, wall: Timestamp) -> Decision {
        if self.state.is_terminal() {
            return Decision::Hold;
        }
        if let Some(reason) = &self.stop_reason {
            return Decision::TakeBack(reason.clone());
        }
        if self.terminal.is_overdue(wall) {
            return Decision::TakeBack(TakeBackReason::Deadline);
        }
        if matches!(self.state, State::Finishing(_)) {
            return if self.selector.allows_new_version(now) {
                Decision::Finish
            } else {
                Decision::Hold
            };
        }
        if !self.is_ready(now) || wall >= self.terminal.done_cutoff() {
            self.ready_since = None;
            return Decision::Hold;
        }
        let since = *self.ready_since.get_or_insert(now);
        if now.saturating_duration_since(since) < self.settings.delay_per_rank * self.context.rank {
            return Decision::Hold;
        }
        self.spec
            .share_of_step(self.state.step_number() + 1)
            .map_or(Decision::Finish, Decision::StepTo)
    }

    fn is_ready(&self, now: Instant) -> bool {
        if !self.selector.allows_new_version(now) || self.fleet_evidence.is_suspicious() {
            return false;
        }
        matches!(self.state, State::Planned(_))
            || (now.saturating_duration_since(self.step_started) >= self.settings.min_dwell
                && self.fleet_evidence.supports_step(self.spec.guard.min_samples))
    }

    fn stop(&mut self, reason: TakeBackReason) {
        if self.stop_reason.is_some() || self.state.is_terminal() {
            return;
        }
        self.selector.set_stopped();
        self.terminal.request(TerminalState::TakenBack(reason.clone()));
        self.stop_reason = Some(reason);
    }

    fn apply_share(&self) {
        self.selector.set_share(self.state.share().min(self.spec.cap));
    }

    fn apply_end(&mut self) {
        let Some(row) = self.terminal.known() else { return };
        if self.state.is_terminal() {
            return;
        }
        let row: EndRow = row.clone();
        match row.end {
            TerminalState::Done => self.selector.set_done(),
            TerminalState::TakenBack(_) => self.selector.set_stopped(),
        }
        self.state = std::mem::replace(&mut self.state, State::Planned(Stage::new())).on_end(row);
    }
}

/// FNV-1a hash of names, each terminated by a zero byte.
fn fnv1a<'a>(names: impl Iterator<Item = &'a str>) -> u64 {
    let bytes = names.flat_map(|n| n.bytes().chain([0]));
    bytes.fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}
