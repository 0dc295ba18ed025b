use mh_types::{Revision, VmName};

use crate::ReportScope;

/// Source from which changes are fetched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeSource {
    /// The change log of a peer.
    Peer(VmName),
    /// The log rows of the table.
    Table,
}

/// Request that the [`FetchPlanner`](crate::FetchPlanner) tells its caller to send now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchRequest {
    /// Read the head row.
    Head,
    /// Fetch the changes after `since`.
    Changes {
        /// Recipient of the request.
        from: ChangeSource,
        /// Revision held; [`Revision::ZERO`] requests the complete settings.
        since: Revision,
    },
    /// Request a peer's report.
    Report {
        /// Recipient of the request.
        peer: VmName,
        /// Attestation summaries to include in the report.
        scope: ReportScope,
    },
}
