use std::time::Duration;

/// `SplitMix64` pseudorandom number generator, seeded with a number from the caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SplitMix64(pub u64);

impl SplitMix64 {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a uniformly distributed duration from zero up to `limit`.
    pub fn duration_up_to(&mut self, limit: Duration) -> Duration {
        limit.mul_f64(self.next() as f64 / u64::MAX as f64)
    }

    /// Returns a random element of `items`, or `None` when it is empty.
    pub fn choose<'a, T>(&mut self, items: &'a [T]) -> Option<&'a T> {
        let len = items.len() as u64;
        (len > 0).then(|| &items[(self.next() % len) as usize])
    }
}
