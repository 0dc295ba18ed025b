/// Outcome of a conditional write whose answer arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// The write took effect with this version.
    Done(u64),
    /// Another write came first.
    Conflict,
}
