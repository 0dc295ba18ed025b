use serde::{Deserialize, Serialize};

/// Selects the attestation summaries that a peer includes in its report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportScope {
    /// No summaries; only the peer's own attestation and the revisions it knows to be accepted and confirmed.
    Own,
    /// The summary of the peer's own failure domain.
    Domain,
    /// The summaries of every failure domain.
    #[default]
    All,
}
