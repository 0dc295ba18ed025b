/// Bits of the level, in steps.
pub(super) const LEVEL_BITS: u32 = 28;
/// Bits of the time, in microseconds since the start of the span.
const TIME_BITS: u32 = 24;
/// Bits of the span number.
const SPAN_BITS: u32 = u64::BITS - LEVEL_BITS - TIME_BITS;

/// Largest level that fits, in steps.
pub(super) const MAX_LEVEL_STEPS: u64 = (1 << LEVEL_BITS) - 1;
/// Largest time that fits, in microseconds (16.7 s).
pub(super) const MAX_TIME_US: u64 = (1 << TIME_BITS) - 1;

/// State of a meter that one compare-and-swap replaces: the current span, and the level at a time in that span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct BucketState {
    pub span: u64,
    pub time: u64,
    pub level: u64,
}

impl BucketState {
    pub fn unpack(bits: u64) -> Self {
        Self {
            span: bits >> (LEVEL_BITS + TIME_BITS),
            time: (bits >> LEVEL_BITS) & MAX_TIME_US,
            level: bits & MAX_LEVEL_STEPS,
        }
    }

    pub fn pack(self) -> u64 {
        self.span << (LEVEL_BITS + TIME_BITS) | self.time.min(MAX_TIME_US) << LEVEL_BITS | self.level
    }

    pub fn next_span(self) -> u64 {
        (self.span + 1) & ((1 << SPAN_BITS) - 1)
    }
}
