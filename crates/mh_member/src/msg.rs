use serde::{Deserialize, Serialize};

use crate::{Body, DomainSummary, Record};

/// Message between two VMs.
///
/// Its postcard encoding has at most [`Config::max_msg_bytes`](crate::Config::max_msg_bytes) bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Msg {
    /// The sender's record of itself.
    pub sender: Record,
    /// Request or response.
    pub body: Body,
    /// Summaries of failure domains as seen by the sender.
    pub summaries: Vec<DomainSummary>,
    /// Records of other VMs.
    pub records: Vec<Record>,
}
