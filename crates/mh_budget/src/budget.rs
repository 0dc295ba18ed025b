use std::time::Duration;

use mh_types::Code;

use crate::{BudgetName, Share};

/// Millionths of a token in one token; the unit of budgets, levels and loans.
pub const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// Largest rate (in tokens per second) and burst (in tokens); either fits in 64 bits when counted in millionths.
const MAX_TOKENS: f64 = 1e12;

/// A system-wide token bucket: a rate in tokens per second and a burst, enforced over all VMs together.
///
/// The meaning of a token is up to the caller: one request, one byte on a link, or one use of a backend server's slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    name: BudgetName,
    rate: u64,
    burst: u64,
}

impl Budget {
    /// Creates a budget of `rate` tokens per second and a burst of `burst` tokens.
    ///
    /// # Errors
    ///
    /// [`Code::FieldOutOfRange`] when the rate is not in (0, 10¹²] or the burst not in [1, 10¹²].
    pub fn new(name: BudgetName, rate: f64, burst: f64) -> Result<Self, Code> {
        let in_range = rate > 0.0 && rate <= MAX_TOKENS && (1.0..=MAX_TOKENS).contains(&burst);
        if !in_range {
            return Err(Code::FieldOutOfRange);
        }
        let microtokens = MICROTOKENS_PER_TOKEN as f64;
        Ok(Self {
            name,
            rate: ((rate * microtokens) as u64).max(1),
            burst: (burst * microtokens) as u64,
        })
    }

    /// Creates a budget that limits a backend server to `slots` concurrent uses.
    ///
    /// Each use takes one token and lasts at most `longest_use`, so all concurrent uses began within the last
    /// `longest_use`. Half of the slots become the burst, and the other half is the refill over `longest_use`; together
    /// they never exceed `slots`. Slots stay idle if uses are much shorter than `longest_use`.
    ///
    /// # Errors
    ///
    /// [`Code::FieldOutOfRange`] when there are fewer than two slots or `longest_use` is zero.
    pub fn for_slots(name: BudgetName, slots: u32, longest_use: Duration) -> Result<Self, Code> {
        if slots < 2 || longest_use.is_zero() {
            return Err(Code::FieldOutOfRange);
        }
        let burst = slots / 2;
        Self::new(
            name,
            f64::from(slots - burst) / longest_use.as_secs_f64(),
            f64::from(burst),
        )
    }

    /// The budget's name.
    pub fn name(&self) -> &BudgetName {
        &self.name
    }

    /// Rate in millionths of a token per second.
    pub fn rate_microtokens(&self) -> u64 {
        self.rate
    }

    /// Burst in millionths of a token.
    pub fn burst_microtokens(&self) -> u64 {
        self.burst
    }

    /// The whole budget as a share.
    pub fn whole(&self) -> Share {
        Share(self.burst)
    }

    /// Rate of `share`, in millionths of a token per second, rounded down.
    pub fn rate_of(&self, share: Share) -> u64 {
        Share(self.rate).scaled(share.0, self.burst).0
    }

    /// The share that has a rate of `tokens_per_s`, limited to the whole budget.
    pub fn share_of_rate(&self, tokens_per_s: f64) -> Share {
        let ratio = (tokens_per_s * MICROTOKENS_PER_TOKEN as f64 / self.rate as f64).clamp(0.0, 1.0);
        Share((ratio * self.burst as f64) as u64)
    }
}
