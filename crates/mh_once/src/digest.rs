use sha2::{Digest, Sha256};

/// First 128 bits of the SHA-256 of the parts, each preceded by its length.
///
/// The lengths distinguish `("ab", "c")` from `("a", "bc")`. With a fast unkeyed hash, one organisation could construct
/// a request that collides with another's.
pub(crate) fn digest128<const N: usize>(parts: [&[u8]; N]) -> u128 {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.finalize()
        .iter()
        .take(16)
        .fold(0, |sum, byte| (sum << 8) | u128::from(*byte))
}
