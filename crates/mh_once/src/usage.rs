/// Usage of an [`OpTable`](crate::OpTable) at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableUsage {
    /// Number of operations on record, including running ones.
    pub entries: usize,
    /// Number of running operations.
    pub running: usize,
    /// Number of kept answers.
    pub answers: usize,
    /// Total size of kept answers in bytes.
    pub answer_bytes: usize,
}
