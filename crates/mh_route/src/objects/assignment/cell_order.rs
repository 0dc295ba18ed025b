/// Binary logarithm of the number of cells.
const CELL_BITS: u32 = 17;

/// Number of cells of a service. It is fixed, because a change of it moves about half of all objects.
pub(super) const CELLS: u32 = 1 << CELL_BITS;

const MASK: u32 = CELLS - 1;

/// A right shift by at least half of the bits, so that `x ^ (x >> SHIFT)` is its own inverse.
const SHIFT: u32 = CELL_BITS.div_ceil(2);

/// Odd factors of the rounds; any odd numbers with mixed bits suit.
const FACTORS: [u32; 3] = [0x9e37_79b1, 0x85eb_ca6b, 0xc2b2_ae35];

const INVERSES: [u32; 3] = [inverse(FACTORS[0]), inverse(FACTORS[1]), inverse(FACTORS[2])];

/// Inverse of an odd number modulo 2^32 by Newton's method; each step doubles the number of correct bits.
const fn inverse(odd: u32) -> u32 {
    let mut out = odd;
    let mut step = 0;
    while step < 5 {
        out = out.wrapping_mul(2_u32.wrapping_sub(odd.wrapping_mul(out)));
        step += 1;
    }
    out
}

/// Mixes all bits of `x` (the finaliser of `SplitMix64`).
pub(super) const fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// An object's pseudo-random order of all cells.
#[derive(Clone, Copy, Debug)]
pub(super) struct CellOrder {
    keys: [u32; 3],
    seed: u64,
}

impl CellOrder {
    pub(super) fn new(object: u64) -> Self {
        let seed = mix(object ^ 0x6a09_e667_f3bc_c908);
        let second = mix(seed);
        Self {
            keys: [seed as u32, (seed >> 32) as u32, second as u32],
            seed: second,
        }
    }

    /// Position of `cell` in the order.
    pub(super) fn rank(&self, cell: u32) -> u32 {
        let rounds = self.keys.iter().zip(FACTORS);
        rounds.fold(cell, |x, (key, factor)| {
            let x = x.wrapping_add(*key).wrapping_mul(factor) & MASK;
            x ^ (x >> SHIFT)
        })
    }

    /// The cell at position `rank`.
    pub(super) fn cell(&self, rank: u32) -> u32 {
        let rounds = self.keys.iter().zip(INVERSES).rev();
        rounds.fold(rank, |x, (key, inverse)| {
            let x = x ^ (x >> SHIFT);
            x.wrapping_mul(inverse).wrapping_sub(*key) & MASK
        })
    }

    /// Whether the object may use `cell` if the cell's server is to have `factor` / 2^16 of its share.
    pub(super) fn accepts(&self, cell: u32, factor: u32) -> bool {
        factor >= 1 << 16
            || (mix(self.seed ^ u64::from(cell).wrapping_mul(0x9e37_79b9_7f4a_7c15)) >> 48) < u64::from(factor)
    }
}
