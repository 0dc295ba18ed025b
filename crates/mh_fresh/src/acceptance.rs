use mh_types::VmName;

/// Acceptance of a change, as far as this VM knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// A majority of the roster held the change at one moment.
    Accepted,
    /// Acceptance is not yet confirmed.
    Pending {
        /// Roster members not known to hold the change, in roster order.
        ///
        /// A VM receives attestations of every member only as a delegate, or while
        /// [`FetchPlanner::set_awaiting_acceptance`](crate::FetchPlanner::set_awaiting_acceptance) is on. The list may
        /// be shorter than a minority, or empty, while the reports do not yet show one moment at which a majority held
        /// the change simultaneously.
        missing: Vec<VmName>,
    },
}

impl Acceptance {
    /// Whether the change is accepted.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted)
    }
}
