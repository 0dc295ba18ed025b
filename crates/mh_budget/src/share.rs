use std::iter::Sum;
use std::ops::{Add, AddAssign};

use serde::{Deserialize, Serialize};

use crate::budget::MICROTOKENS_PER_TOKEN;

/// Part of a budget, counted as its part of the burst in millionths of a token; it includes the same fraction of the
/// rate.
///
/// Shares are integers, so after any number of divisions, loans and returns they add up to exactly the whole budget.
/// Counting in burst keeps shares of whole tokens exact: a share of 4.999999 tokens would never hold a fifth token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Share(pub u64);

impl Share {
    /// The empty share.
    pub const EMPTY: Self = Self(0);

    /// The share whose burst is `tokens`.
    pub fn of_tokens(tokens: u64) -> Self {
        Self(tokens.saturating_mul(MICROTOKENS_PER_TOKEN))
    }

    /// `self - other`, or the empty share if `other` is larger.
    pub fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// `self * numerator / denominator`, rounded down; the empty share if the denominator is zero.
    pub fn scaled(self, numerator: u64, denominator: u64) -> Self {
        if denominator == 0 {
            return Self::EMPTY;
        }
        let share = u128::from(self.0) * u128::from(numerator) / u128::from(denominator);
        Self(u64::try_from(share).unwrap_or(u64::MAX))
    }

    /// Rounds the share down to whole tokens of burst.
    pub fn whole_tokens(self) -> Self {
        Self(self.0 - self.0 % MICROTOKENS_PER_TOKEN)
    }

    /// Whether the share is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
}

impl Add for Share {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Share {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sum for Share {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::EMPTY, Add::add)
    }
}
