use mh_budget::Answer;
use mh_types::{OrgName, ServerName};
use serde::{Deserialize, Serialize};

use super::news::News;

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
