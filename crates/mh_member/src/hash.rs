/// Returns the 64-bit FNV-1a hash of the parts, finalized by [`mix`] so that every bit depends on the whole input.
///
/// Each part is terminated by the byte 0xff, which no name contains. All VMs must compute the same value, whatever
/// their build.
pub(crate) fn hash(parts: &[&[u8]]) -> u64 {
    let mut h = 0xcbf2_9ce4_8422_2325_u64;
    for part in parts {
        for &byte in part.iter().chain(&[0xff]) {
            h = (h ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
    mix(h)
}

/// Applies the finalizer of `SplitMix64`.
pub(crate) fn mix(mut h: u64) -> u64 {
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}
