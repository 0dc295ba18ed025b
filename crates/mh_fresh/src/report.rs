use mh_types::{Incarnation, Revision, VmName};
use serde::{Deserialize, Serialize};

use crate::{AttestationSummary, HeldRevisions};

/// Response to a report request: the settings revisions that one VM knows and holds.
///
/// A report is built only after the request for it has arrived, and is never stored and sent later, because the
/// receiver counts its age from the time of its own request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the reporting VM.
    pub vm: VmName,
    /// Incarnation of the VM's process.
    pub incarnation: Incarnation,
    /// Highest revision that the VM knows to be committed.
    pub known: Revision,
    /// Highest revision that the VM knows to be accepted.
    pub accepted: Revision,
    /// Revisions that the VM itself holds.
    pub holding: HeldRevisions,
    /// Milliseconds since the VM attested that it knows of no revision above `known`; `None` while it may not attest.
    pub vouched_ms: Option<u32>,
    /// Every change accepted earlier than this many milliseconds ago is at or below `known`.
    pub confirmed_ms: Option<u32>,
    /// Attestation summaries that relay the attestations of other VMs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sums: Vec<AttestationSummary>,
}
