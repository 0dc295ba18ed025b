use serde::{Deserialize, Serialize};

/// Summary of one failure domain as seen by a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainSummary {
    /// Hash of the domain name.
    pub domain: u32,
    /// Highest heartbeat counter seen; a VM of the domain increments it once per round.
    pub beat: u64,
    /// Sum of the digests of the members that are not dead.
    pub digest: u32,
}

/// Maximum encoded size of a summary, in bytes.
pub(crate) const MAX_SUMMARY_BYTES: usize = 20;
