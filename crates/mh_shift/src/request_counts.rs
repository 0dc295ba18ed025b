use std::ops::AddAssign;

/// Counts of finished requests of one version within one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestCounts {
    pub(crate) total: u64,
    pub(crate) errors: u64,
    pub(crate) slow: u64,
}

const ERRORS_SHIFT: u32 = 24;
const SLOW_SHIFT: u32 = 44;
const TOTAL_MASK: u64 = (1 << ERRORS_SHIFT) - 1;
const ERRORS_MASK: u64 = (1 << (SLOW_SHIFT - ERRORS_SHIFT)) - 1;

impl RequestCounts {
    /// One request in packed form; packed values are summed in one atomic word, so the three counts stay consistent.
    pub(crate) fn pack_one(ok: bool, slow: bool) -> u64 {
        1 | (u64::from(!ok) << ERRORS_SHIFT) | (u64::from(slow) << SLOW_SHIFT)
    }

    pub(crate) fn unpack(word: u64) -> Self {
        Self {
            total: word & TOTAL_MASK,
            errors: (word >> ERRORS_SHIFT) & ERRORS_MASK,
            slow: word >> SLOW_SHIFT,
        }
    }
}

impl AddAssign for RequestCounts {
    fn add_assign(&mut self, rhs: Self) {
        self.total += rhs.total;
        self.errors += rhs.errors;
        self.slow += rhs.slow;
    }
}
