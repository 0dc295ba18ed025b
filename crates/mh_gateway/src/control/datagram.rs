use std::hash::Hasher;

use mh_budget::Answer;
use mh_types::{OrgName, ServerName, VmName};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use super::reader_report::ReaderReport;

/// Version of the message format between VMs. Messages of another version are ignored. VMs with different versions each
/// read the store themselves and derive their quota shares from the VM list alone.
pub(crate) const WIRE_VERSION: u8 = 2;

/// Bytes before the payload: the format version and the payload's checksum.
const HEADER_BYTES: usize = 1 + size_of::<u64>();

/// Encodes `message` with the name of its sender `from`.
pub(crate) fn encode<T: Serialize>(from: &VmName, message: &T) -> postcard::Result<Vec<u8>> {
    Ok(add_header(&postcard::to_stdvec(&(from, message))?))
}

fn add_header(payload: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEADER_BYTES + payload.len());
    out.push(WIRE_VERSION);
    out.extend_from_slice(&checksum(payload).to_le_bytes());
    out.extend_from_slice(payload);
    out
}

/// Computes the checksum that detects corruption in transit: a corrupted version or quota share could otherwise stay in
/// use until the process ends.
fn checksum(payload: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(payload);
    hasher.finish()
}

/// Decodes a message and the name of its sender.
///
/// # Errors
///
/// Returns a description of the fault if the bytes are truncated, corrupted or not a message of this format version.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(VmName, T), String> {
    let Some((header, payload)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Err("the message is too short".to_owned());
    };
    if header[0] != WIRE_VERSION {
        return Err(format!("message version {} is not supported", header[0]));
    }
    if header[1..] != checksum(payload).to_le_bytes() {
        return Err("the checksum does not match".to_owned());
    }
    postcard::from_bytes(payload).map_err(|e| e.to_string())
}

/// A message between VMs, sent as one datagram; any of them may be lost.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// A message of the membership protocol.
    Member(mh_member::Msg),
    /// The feed versions that a reader of the store holds, with its latest changes.
    News(Box<ReaderReport>),
    /// The sender calls the store in vain.
    NoNews,
    /// Request counts that backend servers reported to the sender.
    Loads(Vec<(ServerName, u32)>),
    /// Messages of the quota lending protocol.
    Lend(Vec<mh_budget::Msg>),
    /// Token request: asks for one admission from the receiver's share of an organisation's quota.
    Take {
        /// Number of the token request, repeated in the response.
        number: u64,
        /// Organisation whose quota is charged.
        org: OrgName,
    },
    /// Token response: answers [`Datagram::Take`].
    Taken {
        /// Number of the token request that is answered.
        number: u64,
        /// Whether the request was admitted, and what is left of the share.
        answer: Answer,
    },
    /// Requests that crash servers.
    Crashes(mh_poison::Msg),
    /// Limits that servers stated.
    Limits(mh_limit::Msg),
    /// Asks the receiver to admit one request to a server with a limit.
    LimitAsk {
        /// Number of the question, repeated in the reply.
        number: u64,
        /// The question.
        ask: mh_limit::Ask,
    },
    /// Answers [`Datagram::LimitAsk`].
    LimitReply {
        /// Number of the question that is answered.
        number: u64,
        /// The decision.
        reply: mh_limit::Reply,
    },
    /// The list of VMs from which the sender derives the owners of quotas. Unknown to earlier versions.
    Handover(mh_budget::HandoverMsg),
    /// Loads of servers that state their speed. Unknown to earlier versions.
    StatedLoads(StatedLoads),
    /// Demand by failure domain, and fractions of first choices. Unknown to earlier versions.
    Demand(mh_route::objects::DemandMsg),
    /// Size and spare capacity of the sender, for look-ups. Unknown to earlier versions.
    Capacity {
        /// Size in thousandths of a core.
        size: u32,
        /// Unused part of the scarcest resource, of 255.
        spare: u8,
    },
    /// Counts of requests for the usage reports, and their confirmations. Unknown to earlier versions.
    Usage(mh_usage::Msg),
}

/// Loads that backend servers with a stated speed reported to the sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StatedLoads {
    /// Incarnation of the sender.
    pub(crate) run: u64,
    /// Monotonic clock of the sender in milliseconds, from which the receiver tells delayed messages.
    pub(crate) sent_ms: u64,
    /// The loads.
    pub(crate) loads: Vec<StatedLoad>,
}

/// Load of one server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StatedLoad {
    pub(crate) server: ServerName,
    /// Requests at the server.
    pub(crate) total: u32,
    /// Age when the message was sent, in units of 10 ms.
    pub(crate) age_10ms: u32,
    /// Duration of work in units of 10 percent of the usual one; 0 if unknown.
    pub(crate) speed_10: u32,
}

#[cfg(test)]
#[path = "../../tests/unit/datagram.rs"]
mod tests;
