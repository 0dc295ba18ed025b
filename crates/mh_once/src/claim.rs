use mh_types::{Code, Run};
use tokio::time::Instant;

use crate::caller_id::CallerChosenId;
use crate::claim_row::ClaimRow;
use crate::claim_step::ClaimStep;
use crate::decision::Decision;
use crate::owner::Owner;
use crate::router::Router;
use crate::row_key::RowKey;
use crate::write_outcome::WriteOutcome;

/// Maximum number of read backs of a write before its claim is refused as not run.
const MAX_READ_BACKS: u8 = 3;

/// State machine that claims a caller-supplied id, from the conditional create of its row until its owner is known.
///
/// The operation does not run before the outcome is known, so a claim that gives up is always "not run".
///
/// ```
/// use mh_once::{Claim, ClaimStep, OpId, Owner, WriteOutcome};
/// use mh_types::{Incarnation, OrgName, VmName};
/// use tokio::time::Instant;
///
/// let start = Instant::now();
/// let owner = Owner::new(VmName::from("maine-a-1"), Incarnation(5), start);
/// let OpId::Caller(id) = OpId::parse("order-17", Some(&OrgName::from("sales/acme")))? else { unreachable!() };
/// let mut claim = Claim::new(&owner, start, &id);
/// let ClaimStep::Create(row) = claim.step() else { unreachable!() };
/// // The reply to the write is lost; the read back finds the outcome.
/// assert_eq!(claim.on_outcome(WriteOutcome::Unknown), ClaimStep::ReadBack);
/// assert_eq!(claim.on_outcome(WriteOutcome::Committed), ClaimStep::Local(row));
/// # Ok::<(), mh_once::InvalidOpId>(())
/// ```
#[derive(Clone, Debug)]
pub struct Claim {
    key: RowKey,
    row: ClaimRow,
    read_backs: u8,
    step: ClaimStep,
}

impl Claim {
    /// Creates a claim of `id` for `owner`; the id's lifetime starts at `now` if the claim succeeds.
    pub fn new(owner: &Owner, now: Instant, id: &CallerChosenId) -> Self {
        let row = ClaimRow {
            vm: owner.vm().clone(),
            incarnation: owner.incarnation(),
            claimed_ms: owner.elapsed_ms(now),
        };
        Self {
            key: RowKey::new(id),
            step: ClaimStep::Create(row.clone()),
            row,
            read_backs: 0,
        }
    }

    /// Key of the claim row.
    pub fn key(&self) -> RowKey {
        self.key
    }

    /// Contents of the claim row if the claim succeeds.
    pub fn row(&self) -> &ClaimRow {
        &self.row
    }

    /// Current step.
    pub fn step(&self) -> ClaimStep {
        self.step.clone()
    }

    /// Applies the outcome of the write and returns the next step; a finished claim keeps its final step.
    pub fn on_outcome(&mut self, outcome: WriteOutcome) -> ClaimStep {
        if matches!(self.step, ClaimStep::Create(_) | ClaimStep::ReadBack) {
            self.step = self.next_step(outcome);
        }
        self.step()
    }

    fn next_step(&mut self, outcome: WriteOutcome) -> ClaimStep {
        match outcome {
            WriteOutcome::Committed => ClaimStep::Local(self.row.clone()),
            WriteOutcome::Conflict(Some(row)) => {
                match Router::decide_claimed(&self.row.vm, self.row.incarnation, &row) {
                    Decision::Local => ClaimStep::Local(row),
                    Decision::Forward(_) => ClaimStep::Forward(row),
                    Decision::Refuse(code, run) => ClaimStep::Refuse(code, run),
                    Decision::Claim => ClaimStep::Refuse(Code::Internal, Run::Unknown),
                }
            }
            WriteOutcome::Conflict(None) => ClaimStep::Refuse(Code::RowUndecodable, Run::Unknown),
            WriteOutcome::Unknown if self.read_backs < MAX_READ_BACKS => {
                self.read_backs += 1;
                ClaimStep::ReadBack
            }
            WriteOutcome::Unknown => ClaimStep::Refuse(Code::OutcomeUnknown, Run::NotRun),
            WriteOutcome::NotApplied(code) => ClaimStep::Refuse(code, Run::NotRun),
        }
    }
}
