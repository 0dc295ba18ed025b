use std::f64::consts::{LN_2, SQRT_2};

use siphasher::sip::SipHasher13;

/// Keys of the `SipHash` function. They must be the same on every VM, so that all VMs give a caller the same result.
const HASH_KEYS: (u64, u64) = (0x6D61_6E67_6F68_6F6F, 0x6B5F_6C6F_6F6B_7570);

/// Hashes the name of a VM or the network of a caller.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1).hash(bytes)
}

/// Returns the score of a VM for a caller. The VM with the lowest score is chosen; its probability is proportional to
/// its weight.
///
/// A score depends on one VM only, so the loss of a VM does not change the order of the others. Both inputs are hashes
/// already, so the finaliser of `SplitMix64` mixes them sufficiently, in a fraction of the time of another hash.
pub(crate) fn score(caller: u64, vm: u64, inverse_weight: f64) -> f64 {
    let mut z = (caller ^ vm).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^= z >> 31;
    // 53 bits fill the mantissa; adding 0.5 keeps the number above zero.
    let unit = ((z >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -ln(unit) * inverse_weight
}

/// Returns the natural logarithm of a positive normal number, with an error below one millionth.
///
/// `f64::ln` may return different bits on different platforms, so VMs could give a caller different results.
fn ln(x: f64) -> f64 {
    const FRACTION: u64 = (1 << 52) - 1;
    const ONE: u64 = 1.0_f64.to_bits();
    // x = m * 2^exponent with m from 1 to 2. ln m is a short series in (m - c) / (m + c) around the centre c = sqrt(2).
    let bits = x.to_bits();
    let exponent = (bits >> 52) as f64 - 1023.0;
    let m = f64::from_bits(bits & FRACTION | ONE);
    let s = (m - SQRT_2) / (m + SQRT_2);
    let q = s * s;
    2.0 * s * (1.0 + q * (1.0 / 3.0 + q * (1.0 / 5.0 + q / 7.0))) + (exponent + 0.5) * LN_2
}
