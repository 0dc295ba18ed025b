use serde::{Deserialize, Serialize};

use crate::KeyHash;

/// A caller key; the key itself is not stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name of the organisation within the same team.
    pub organisation: String,
    /// SHA-256 of the key, 64 hexadecimal digits.
    pub hash: KeyHash,
}
