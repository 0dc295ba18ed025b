use std::time::Duration;

use mh_types::Revision;
use tokio::time::Instant;

use crate::HeldRevisions;

/// Time after which a held revision counts as [`HeldRevisions::steady`].
///
/// The time does not depend on the bound, so that VMs with different bounds, during a settings change, interpret the
/// field in the same way.
pub const STEADY_DURATION: Duration = Duration::from_secs(2);

/// Longest holding time that an attestation reports.
///
/// A longer time adds no information, since the compared attestations are a few seconds apart, while the drift between
/// two clocks grows with it.
pub(crate) const MAX_HELD_DURATION: Duration = Duration::from_secs(10);

/// Divisor for the tolerated clock drift: 1 in 5,000, or 200 ppm.
const DRIFT_DIVISOR: u32 = 5_000;

/// Newest attestation received for one member, with times by the receiver's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Attestation {
    /// The member attested at this moment or later.
    pub at: Instant,
    /// Revision held at the time of the attestation.
    pub held: Revision,
    /// The member held `held` from this moment or earlier until `at` or later, in one incarnation of its process.
    pub held_from: Instant,
    /// Revision held for at least [`STEADY_DURATION`].
    pub steady: Revision,
    /// The member held `steady` from this moment or earlier.
    pub steady_from: Instant,
}

impl Attestation {
    /// Converts reported durations to instants. `at` is the earliest time of the attestation, `received` the time of
    /// receipt.
    pub fn from_held_revisions(at: Instant, received: Instant, holding: &HeldRevisions) -> Self {
        // The durations end at the attestation, which is not later than the receipt, so subtracting them from the time
        // of receipt gives the latest moment at which the member began to hold the revision. They are shortened first,
        // because a member with a fast clock reports too long a time.
        let before_receipt = |by: Duration| {
            received
                .checked_sub(by / DRIFT_DIVISOR * (DRIFT_DIVISOR - 1))
                .unwrap_or(received)
        };
        Self {
            at,
            held: holding.held,
            held_from: before_receipt(Duration::from_millis(holding.held_ms.into()).min(MAX_HELD_DURATION)),
            steady: holding.steady,
            steady_from: before_receipt(STEADY_DURATION),
        }
    }

    /// Interval during which the member is known to have held `revision` or newer.
    pub fn held_interval(&self, revision: Revision) -> Option<(Instant, Instant)> {
        let from = if self.held >= revision {
            // `steady` is not above `held`, and its interval may be the longer one.
            if self.steady >= revision {
                self.steady_from.min(self.held_from)
            } else {
                self.held_from
            }
        } else {
            return None;
        };
        (from <= self.at).then_some((from, self.at))
    }
}
