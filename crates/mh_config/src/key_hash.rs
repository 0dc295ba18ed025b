use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Prefix of every caller key, so that secret scanners recognise a leaked key.
const CALLER_KEY_PREFIX: &str = "mhk";

/// A caller's key as sent in requests: `mhk.TEAM.ID.SECRET`.
///
/// The secret has 256 random bits, so storing a plain SHA-256 of the whole key is safe.
#[derive(Clone)]
pub struct CallerKey(String);

impl CallerKey {
    /// Creates a key from 32 random bytes.
    pub fn new(team: &str, id: &str, secret: &[u8; 32]) -> Self {
        Self(format!("{CALLER_KEY_PREFIX}.{team}.{id}.{}", hex::encode(secret)))
    }

    /// The text that the caller sends.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// The hash to store.
    pub fn hash(&self) -> KeyHash {
        KeyHash::of(&self.0)
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallerKey(hidden)")
    }
}

/// SHA-256 of a caller's key, serialized as 64 hexadecimal digits in text formats and as 32 bytes in binary formats.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyHash([u8; 32]);

impl Serialize for KeyHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            String::from(*self).serialize(serializer)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            Self::try_from(String::deserialize(deserializer)?).map_err(serde::de::Error::custom)
        } else {
            Deserialize::deserialize(deserializer).map(Self)
        }
    }
}

impl KeyHash {
    /// The hash of a key as sent by a caller.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Compares two hashes in a time that does not depend on their content.
    pub fn constant_time_eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl TryFrom<String> for KeyHash {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(&text, &mut bytes).map_err(|e| format!("a key hash is 64 hexadecimal digits: {e}"))?;
        Ok(Self(bytes))
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        hex::encode(hash.0)
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(hidden)")
    }
}
