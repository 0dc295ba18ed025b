use std::time::Duration;

use mh_types::Code;

/// Longest time for which a meter stays valid without a tick; its state holds 24 bits of microseconds.
const MAX_PAUSE_LIMIT: Duration = Duration::from_secs(16);
/// Largest drift bound, in parts per million; a clock with a larger error is broken.
const MAX_DRIFT_PPM: u32 = 50_000;

/// Settings of the lending protocol; they must be the same on every VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LendingSettings {
    /// Duration of a loan at the lender; a longer lease costs fewer messages but frees share later after a network
    /// partition.
    pub lease: Duration,
    /// Safety margin by which the borrower stops before the lender reclaims the share.
    pub safety_margin: Duration,
    /// Bound on the rate error of a VM's monotonic clock in either direction, in parts per million.
    pub drift_ppm: u32,
    /// Gap between two ticks from which on a VM must confirm that it still owns its slots.
    ///
    /// Must be shorter than the time for which a VM must be missing from the platform's list before its slots are taken
    /// over.
    pub pause_limit: Duration,
    /// Time after a loan request at which the borrower sends another one to keep the loan.
    pub renew_interval: Duration,
    /// Time that a borrower waits for the answer to a loan request before it sends another one.
    pub retry_timeout: Duration,
}

impl Default for LendingSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(5),
            safety_margin: Duration::from_millis(100),
            // The kernel corrects a monotonic clock by at most 500 ppm.
            drift_ppm: 500,
            pause_limit: Duration::from_secs(5),
            renew_interval: Duration::from_secs(2),
            retry_timeout: Duration::from_millis(500),
        }
    }
}

impl LendingSettings {
    /// Checks that the settings are consistent.
    ///
    /// # Errors
    ///
    /// [`Code::FieldOutOfRange`] when the borrower's lease would not outlast two loan requests, the pause limit is zero
    /// or over 16 s, or the drift bound is over 5%.
    pub fn check(&self) -> Result<(), Code> {
        let fits = self.drift_ppm <= MAX_DRIFT_PPM
            && self.renew_interval + self.retry_timeout < self.borrower_lease()
            && !self.pause_limit.is_zero()
            && self.pause_limit <= MAX_PAUSE_LIMIT;
        if fits { Ok(()) } else { Err(Code::FieldOutOfRange) }
    }

    /// Duration of a loan at the borrower, from the moment it sent the loan request.
    ///
    /// With both clocks within the drift bound `d`, `lease * (1 - 2d)` on the borrower's clock ends before `lease` on
    /// the lender's, which starts later.
    pub fn borrower_lease(&self) -> Duration {
        self.borrower_lease_of(self.lease)
    }

    /// Same as [`borrower_lease`](Self::borrower_lease), for a lease duration that the lender states.
    pub(crate) fn borrower_lease_of(&self, lease: Duration) -> Duration {
        self.less_drift(lease).saturating_sub(self.safety_margin)
    }

    /// Time that a new owner waits before it uses slots, so that the previous owner's loans and its own use of the
    /// slots have ended.
    pub fn takeover_wait(&self) -> Duration {
        let longest = self.lease.max(self.pause_limit);
        longest + longest * (2 * self.drift_ppm) / 1_000_000 + self.safety_margin
    }

    /// Reduces `rate` by the drift bound, so that a fast clock does not refill a meter faster than `rate` in real time.
    pub(crate) fn drift_safe_rate(&self, rate: u64) -> u64 {
        let ppm = u128::from(1_000_000 - self.drift_ppm.min(MAX_DRIFT_PPM));
        (u128::from(rate) * ppm / 1_000_000) as u64
    }

    fn less_drift(&self, time: Duration) -> Duration {
        time.saturating_sub(time * (2 * self.drift_ppm) / 1_000_000)
    }
}
