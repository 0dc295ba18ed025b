use mh_types::StoreVersion;

/// Outcome of a conditional write that the store answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write succeeded and got this version.
    Done(StoreVersion),
    /// The stored version had changed.
    Conflict,
}
