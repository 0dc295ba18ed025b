use std::fmt;

use serde::{Deserialize, Serialize};

/// Fraction from 0 to 1 in whole millionths, so that limits computed from it are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fraction(u32);

impl Fraction {
    /// The fraction 0.
    pub const ZERO: Self = Self(0);
    /// The fraction 1.
    pub const ONE: Self = Self(1_000_000);

    /// Creates a fraction from millionths; values over one million become 1.
    #[must_use]
    pub const fn from_millionths(millionths: u32) -> Self {
        if millionths > Self::ONE.0 {
            Self::ONE
        } else {
            Self(millionths)
        }
    }

    /// Number of millionths, 0 to 1,000,000.
    pub const fn millionths(self) -> u32 {
        self.0
    }

    /// Value as a number from 0 to 1.
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / f64::from(Self::ONE.0)
    }
}

impl fmt::Display for Fraction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.as_f64() * 100.0)
    }
}
