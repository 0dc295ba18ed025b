use jiff::Timestamp;
use mh_types::{ServiceName, ShiftName, VersionName};
use serde::{Deserialize, Serialize};

use crate::{Fraction, Guard, SpecError};

/// Largest share while the shift runs.
///
/// The old version keeps a tenth of the requests as the control group of the comparison.
const MAX_COMPARED_SHARE: Fraction = Fraction::from_millionths(900_000);

/// Specification of a shift: an operator's order to move a service from one backend version to another.
///
/// To return to the old version after the shift is done, create a new shift with `from` and `to` exchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShiftSpec {
    /// Name of the shift.
    pub name: ShiftName,
    /// Service whose requests move.
    pub service: ServiceName,
    /// Version that serves before the shift and after it is taken back.
    pub from: VersionName,
    /// Version that serves once the shift is done.
    pub to: VersionName,
    /// Fraction of requests that the new version may get while the shift runs.
    pub cap: Fraction,
    /// Time by which the shift must be done or taken back.
    pub deadline: Timestamp,
    /// Tolerated difference and required evidence.
    pub guard: Guard,
    /// Shares in rising order; shares over the cap are reduced to it.
    pub steps: Vec<Fraction>,
}

impl ShiftSpec {
    /// Default shares of the steps.
    ///
    /// While the share is at most 1%, a version that is faulty from the start cannot get more than 1% of all requests
    /// however long its detection takes, so the first step collects most of the evidence.
    pub fn default_steps() -> Vec<Fraction> {
        [10_000, 20_000, 50_000, 100_000, 250_000, 500_000]
            .map(Fraction::from_millionths)
            .to_vec()
    }

    /// Validates the fields.
    ///
    /// # Errors
    ///
    /// [`SpecError`] for the first invalid field.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.from == self.to {
            return Err(SpecError::SameVersion);
        }
        if self.cap == Fraction::ZERO {
            return Err(SpecError::CapZero);
        }
        let rising = self.steps.windows(2).all(|w| w[0] < w[1]);
        if !rising || self.steps.first().is_none_or(|s| *s == Fraction::ZERO) {
            return Err(SpecError::StepsNotRising);
        }
        if !(self.guard.max_latency_factor.is_finite() && self.guard.max_latency_factor > 1.0) {
            return Err(SpecError::LatencyFactor);
        }
        if self.guard.max_error_excess == Fraction::ZERO {
            return Err(SpecError::ErrorExcess);
        }
        Ok(())
    }

    /// Share of step `number`, counted from 1; `None` after the last step.
    pub fn share_of_step(&self, number: u64) -> Option<Fraction> {
        let max_share = self.cap.min(MAX_COMPARED_SHARE);
        let at = usize::try_from(number).ok()?.checked_sub(1)?;
        let cap_reached = at > 0 && self.steps.get(at - 1).is_some_and(|s| *s >= max_share);
        if cap_reached {
            None
        } else {
            self.steps.get(at).map(|s| (*s).min(max_share))
        }
    }
}
