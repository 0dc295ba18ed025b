use std::fmt;

use crate::caller_id::CallerChosenId;
use crate::digest::digest128;

/// Key of the claim row of a caller-supplied id: a 128-bit hash of organisation and id.
///
/// Two ids with the same hash would share an owner and a record, and the later one would be refused; neither would run
/// twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowKey(u128);

impl RowKey {
    /// Creates the row key of `id`.
    pub fn new(id: &CallerChosenId) -> Self {
        Self(digest128([id.org().as_str().as_bytes(), id.as_str().as_bytes()]))
    }

    pub(crate) fn bits(self) -> u128 {
        self.0
    }
}

impl fmt::Display for RowKey {
    /// Prints the row's path in the platform table: `/sys/once/` followed by 32 hexadecimal digits.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "/sys/once/{:032x}", self.0)
    }
}
