use mh_budget::Answer;
use mh_types::{OrgName, ServerName, VmName};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::news::News;

/// Form of the messages between VMs. A VM of another version is not understood and ignored: each of them then reads the
/// store, and owns its shares of quotas by the list alone.
pub(crate) const WIRE_VERSION: u8 = 1;

/// Encodes what `from` tells.
pub(crate) fn encode<T: Serialize>(from: &VmName, message: &T) -> postcard::Result<Vec<u8>> {
    postcard::to_stdvec(&(WIRE_VERSION, from, message))
}

/// Decodes a message with the name of its sender.
///
/// # Errors
///
/// A text when the bytes are no message of this version.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(VmName, T), String> {
    let (version, rest) = postcard::take_from_bytes::<u8>(bytes).map_err(|e| e.to_string())?;
    if version != WIRE_VERSION {
        return Err(format!("version {version} is not known"));
    }
    postcard::from_bytes(rest).map_err(|e| e.to_string())
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
