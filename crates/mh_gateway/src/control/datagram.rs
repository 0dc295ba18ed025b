use std::hash::Hasher;

use mh_budget::Answer;
use mh_types::{OrgName, ServerName, VmName};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use super::news::News;

/// Form of the messages between VMs. A VM of another version is not understood and ignored: each of them then reads the
/// store, and owns its shares of quotas by the list alone.
pub(crate) const WIRE_VERSION: u8 = 1;

/// Bytes before the content: the version and a checksum of the content.
const HEAD_BYTES: usize = 1 + size_of::<u64>();

/// Encodes what `from` tells.
pub(crate) fn encode<T: Serialize>(from: &VmName, message: &T) -> postcard::Result<Vec<u8>> {
    Ok(seal(&postcard::to_stdvec(&(from, message))?))
}

fn seal(content: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEAD_BYTES + content.len());
    out.push(WIRE_VERSION);
    out.extend_from_slice(&checksum(content).to_le_bytes());
    out.extend_from_slice(content);
    out
}

/// A version or share that was changed on the way could be believed for the rest of a process's life.
fn checksum(content: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(content);
    hasher.finish()
}

/// Decodes a message with the name of its sender.
///
/// # Errors
///
/// A text when the bytes are no message of this version.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(VmName, T), String> {
    let Some((head, content)) = bytes.split_at_checked(HEAD_BYTES) else {
        return Err("it is too short".to_owned());
    };
    if head[0] != WIRE_VERSION {
        return Err(format!("version {} is not known", head[0]));
    }
    if head[1..] != checksum(content).to_le_bytes() {
        return Err("its checksum is wrong".to_owned());
    }
    postcard::from_bytes(content).map_err(|e| e.to_string())
}

/// What one VM tells another in a datagram; any of them may be lost.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// A message of the membership protocol.
    Member(mh_member::Msg),
    /// What a VM that reads the store holds.
    News(News),
    /// The sender can no longer read the store.
    NoNews,
    /// Requests that servers told the sender they hold.
    Loads(Vec<(ServerName, u32)>),
    /// Messages of the lending of quotas.
    Lend(Vec<mh_budget::Msg>),
    /// Asks to take one request from the receiver's share of an organisation's quota.
    Take {
        /// Number that the answer repeats.
        number: u64,
        /// The organisation.
        org: OrgName,
    },
    /// Answers [`Datagram::Take`].
    Taken {
        /// Number of the question.
        number: u64,
        /// Whether the request was taken, and what is left.
        answer: Answer,
    },
}

#[cfg(test)]
#[path = "../../tests/unit/datagram.rs"]
mod tests;
