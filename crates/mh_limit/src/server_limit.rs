use std::fmt;

use serde::{Deserialize, Serialize};

/// Lowest limit that is used, in requests per second. A server that gets no requests cannot state that its limit has
/// ended.
const MIN_PER_S: f64 = 0.25;

/// Highest limit that is used, in requests per second; no server reaches it.
const MAX_PER_S: f64 = 1e6;

/// Relative increase of a limit that is passed on. Smaller increases would cost more messages than they gain requests.
const MIN_INCREASE: f64 = 0.05;

/// Request rate that a backend server accepts from all VMs together, in requests per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerLimit(f64);

/// Error for a text that is not a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidLimit {
    /// The text is not a finite decimal number.
    NotANumber,
    /// The number is negative.
    Negative,
}

impl fmt::Display for InvalidLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotANumber => "a limit is a finite decimal number of requests per second",
            Self::Negative => "a limit is not negative",
        })
    }
}

impl std::error::Error for InvalidLimit {}

impl ServerLimit {
    /// Parses a limit. Values outside 0.25 to 1,000,000 requests per second are replaced by the nearer bound.
    ///
    /// # Errors
    ///
    /// [`InvalidLimit`] if the text is not a finite decimal number or is negative.
    pub fn parse(text: &str) -> Result<Self, InvalidLimit> {
        let per_s: f64 = text.trim().parse().map_err(|_| InvalidLimit::NotANumber)?;
        if !per_s.is_finite() {
            return Err(InvalidLimit::NotANumber);
        }
        if per_s < 0.0 {
            return Err(InvalidLimit::Negative);
        }
        Ok(Self(per_s.clamp(MIN_PER_S, MAX_PER_S)))
    }

    /// Requests per second.
    pub fn per_s(self) -> f64 {
        self.0
    }

    /// Whether a change from `self` to `next` is passed on to other VMs: any decrease, and noticeable increases.
    pub(crate) fn is_significant_change(self, next: Self) -> bool {
        next.0 < self.0 || next.0 > self.0 * (1.0 + MIN_INCREASE)
    }

    /// Returns the limit with a rate that other VMs may have sent limited to the accepted range.
    pub(crate) fn sanitised(self) -> Self {
        if self.0.is_nan() {
            return Self(MIN_PER_S);
        }
        Self(self.0.clamp(MIN_PER_S, MAX_PER_S))
    }
}

impl fmt::Display for ServerLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
