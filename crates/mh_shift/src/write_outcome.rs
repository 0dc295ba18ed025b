use crate::Rows;

/// Result of a [`Write`](crate::Write).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Committed,
    /// A condition did not hold; contains the current rows.
    Conflict(Rows),
    /// No reply; the write may have taken effect, or may do so later.
    Unknown,
    /// A read-back did not find the write; it may still take effect later.
    NotFound,
}
