use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of bytes of the hash that identify a request.
const FINGERPRINT_BYTES: usize = 16;

/// Identifies requests with the same contents from the same caller.
///
/// A cryptographic hash, so that no caller can craft a request with the fingerprint of another caller's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request from its parts, such as method, host, path, caller and body.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            // The lengths keep parts apart that are equal when joined.
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut out = [0; FINGERPRINT_BYTES];
        out.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Self(out)
    }

    /// Parses the display format.
    pub fn parse(text: &str) -> Option<Self> {
        let is_hex = text.len() == 2 * FINGERPRINT_BYTES && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let value = is_hex.then(|| u128::from_str_radix(text, 16).ok()).flatten()?;
        Some(Self(value.to_be_bytes()))
    }

    /// Returns 64 bits of the fingerprint, for tables and for the choice of VMs.
    pub fn bits(&self) -> u64 {
        let (bits, _) = self.0.split_at(size_of::<u64>());
        bits.iter().fold(0, |out, byte| (out << 8) | u64::from(*byte))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
