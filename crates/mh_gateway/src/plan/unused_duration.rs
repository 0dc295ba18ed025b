use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Place of a duration in the encoding between VMs that earlier versions of the program read and write; it is written as
/// zero and ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnusedDuration;

impl Serialize for UnusedDuration {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        Duration::ZERO.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for UnusedDuration {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Duration::deserialize(deserializer).map(|_| Self)
    }
}
