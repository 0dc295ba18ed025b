use tokio::time::Instant;

/// Rate and burst that a meter may use, with and without borrowed shares, which end at different times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Rate while borrowed shares last, in millionths of a token per second.
    pub with_loans_rate: u64,
    /// Burst while borrowed shares last, in millionths of a token.
    pub with_loans_burst: u64,
    /// When the first of the borrowed shares ends; a time after `own_until` counts as `own_until`.
    pub with_loans_until: Instant,
    /// Rate after that, in millionths of a token per second.
    pub own_rate: u64,
    /// Burst after that, in millionths of a token.
    pub own_burst: u64,
    /// When the meter stops admitting unless it is set again.
    pub own_until: Instant,
}

impl Allowance {
    /// Creates an allowance without borrowed shares that is valid up to `until`.
    pub fn own(rate: u64, burst: u64, until: Instant) -> Self {
        Self {
            with_loans_rate: rate,
            with_loans_burst: burst,
            with_loans_until: until,
            own_rate: rate,
            own_burst: burst,
            own_until: until,
        }
    }
}
