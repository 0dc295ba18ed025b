/// Order in which servers are tried, best first; within a rank the predicted wait decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    /// Failed earlier and due for a trial.
    Trial,
    /// Own failure domain, with a free slot.
    Domain,
    /// Own region, with a free slot.
    Region,
    /// Another region, with a free slot.
    Other,
    /// Probably no free slot, or far slower than the best server.
    BusyOrSlow,
    /// Limited by a ramp or by the limit on the growth of a domain.
    GrowthLimited,
    /// Failed, and not due for a trial.
    Failed,
}
