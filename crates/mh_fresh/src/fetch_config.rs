use std::time::Duration;

/// Intervals and limits of the [`FetchPlanner`](crate::FetchPlanner).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchConfig {
    /// Interval between two report requests to the same peer.
    ///
    /// An attestation travels from a member to its delegate, to another domain's delegate and to that domain's members,
    /// so three of these intervals and the network delays must fit into the bound.
    pub report_interval: Duration,
    /// Interval between two reads of the head row by a delegate.
    pub head_poll_interval: Duration,
    /// Longest interval between two table reads by a delegate while the table fails.
    pub delegate_backoff_cap: Duration,
    /// Longest interval between two table reads by any other VM while it is not current and the table fails.
    pub member_backoff_cap: Duration,
    /// Consecutive unanswered requests after which a peer counts as unreachable.
    pub max_failures: u32,
    /// Time before an unreachable peer is asked again.
    pub retry_delay: Duration,
}

impl FetchConfig {
    /// Derives the intervals from the freshness bound.
    pub fn for_bound(bound: Duration) -> Self {
        Self {
            report_interval: bound / 4,
            head_poll_interval: bound / 4,
            delegate_backoff_cap: bound * 4,
            member_backoff_cap: bound * 16,
            max_failures: 2,
            retry_delay: bound,
        }
    }
}
