use crate::{Decision, EndRow, Fraction, StepRow, TerminalState};

/// Stage before the first step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planned(());

/// Stage in which part of the requests goes to the new version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running(StepRow);

/// Stage in which the evidence is complete and `Done` is being written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finishing(StepRow);

/// Terminal stage: the shift is done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Done(EndRow);

/// Terminal stage: the shift is taken back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakenBack(EndRow);

/// Typestate of a shift.
///
/// Only a terminal row leads to `Stage<Done>` or `Stage<TakenBack>`, and there is no transition out of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage<S>(S);

impl Stage<Planned> {
    /// Creates the stage before the first step.
    pub fn new() -> Self {
        Self(Planned(()))
    }

    /// Enters the running stage after the first step was written.
    #[must_use]
    pub fn run(self, row: StepRow) -> Stage<Running> {
        Stage(Running(row))
    }
}

impl Default for Stage<Planned> {
    fn default() -> Self {
        Self::new()
    }
}

impl Stage<Running> {
    /// Step in force.
    pub fn step(&self) -> &StepRow {
        &self.0.0
    }

    /// Replaces the step by a later one; an earlier or equal one changes nothing.
    #[must_use]
    pub fn step_to(self, row: StepRow) -> Self {
        if row.number > self.0.0.number {
            Self(Running(row))
        } else {
            self
        }
    }

    /// Enters the finishing stage when the evidence is complete.
    #[must_use]
    pub fn finish(self) -> Stage<Finishing> {
        Stage(Finishing(self.0.0))
    }
}

impl Stage<Finishing> {
    /// Last step.
    pub fn step(&self) -> &StepRow {
        &self.0.0
    }
}

impl Stage<Done> {
    /// Terminal row.
    pub fn row(&self) -> &EndRow {
        &self.0.0
    }
}

impl Stage<TakenBack> {
    /// Terminal row.
    pub fn row(&self) -> &EndRow {
        &self.0.0
    }
}

/// Current stage of a shift, as one VM knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// No step yet.
    Planned(Stage<Planned>),
    /// Part of the requests goes to the new version.
    Running(Stage<Running>),
    /// `Done` is being written.
    Finishing(Stage<Finishing>),
    /// Done.
    Done(Stage<Done>),
    /// Taken back.
    TakenBack(Stage<TakenBack>),
}

impl State {
    /// Number of the step in force, 0 before the first.
    pub fn step_number(&self) -> u64 {
        self.step().map_or(0, |r| r.number)
    }

    /// Step in force.
    pub fn step(&self) -> Option<&StepRow> {
        match self {
            Self::Running(s) => Some(s.step()),
            Self::Finishing(s) => Some(s.step()),
            _ => None,
        }
    }

    /// Share of the step in force.
    pub fn share(&self) -> Fraction {
        self.step().map_or(Fraction::ZERO, |r| r.share)
    }

    /// Whether the shift has ended.
    pub fn is_terminal(&self) -> bool {
        matches!(self, Self::Done(_) | Self::TakenBack(_))
    }

    pub(crate) fn on_step(self, row: StepRow) -> Self {
        match self {
            Self::Planned(s) => Self::Running(s.run(row)),
            Self::Running(s) => Self::Running(s.step_to(row)),
            other => other,
        }
    }

    pub(crate) fn on_decision(self, decision: &Decision) -> Self {
        match (self, decision) {
            (Self::Running(s), Decision::Finish) => Self::Finishing(s.finish()),
            (state, _) => state,
        }
    }

    pub(crate) fn on_end(self, row: EndRow) -> Self {
        if self.is_terminal() {
            return self;
        }
        match row.end {
            TerminalState::Done => Self::Done(Stage(Done(row))),
            TerminalState::TakenBack(_) => Self::TakenBack(Stage(TakenBack(row))),
        }
    }
}
