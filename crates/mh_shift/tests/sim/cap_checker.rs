use mh_shift::Fraction;

/// Checks that the new version gets no more requests than the cap allows, in any interval and in total.
#[derive(Clone, Copy, Default)]
pub struct CapChecker {
    excess: i64,
    lowest: i64,
}

impl CapChecker {
    const UNIT: i64 = 1_000_000;

    /// Counts a request of one VM; returns false when a limit is exceeded.
    pub fn count(&mut self, new: bool, cap: Fraction) -> bool {
        self.lowest = self.lowest.min(self.excess);
        self.excess += i64::from(new) * Self::UNIT - i64::from(cap.millionths());
        self.excess <= 0 && self.excess - self.lowest <= Self::UNIT
    }

    /// Counts a request of the whole fleet, for which only the total is limited.
    pub fn count_total(&mut self, new: bool, cap: Fraction) -> bool {
        self.excess += i64::from(new) * Self::UNIT - i64::from(cap.millionths());
        self.excess <= 0
    }
}
