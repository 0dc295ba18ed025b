/// Outcome of a conditional write that the store answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write succeeded and got this version.
    Done(u64),
    /// The stored version had changed.
    Conflict,
}
