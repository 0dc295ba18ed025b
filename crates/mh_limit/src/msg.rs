use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Statement, Target};

/// Message about limits between VMs; any of them may be lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Msg {
    /// Limits that the receiver may not know.
    Statements(Vec<Statement>),
    /// Combined hash of the limits that the sender knows; a receiver that knows others replies with its own.
    Digest {
        /// The hash.
        hash: u64,
        /// Whether this answers another digest; it is not answered by one.
        is_reply: bool,
    },
}

/// Request to admit one request to a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The server.
    pub target: Target,
    /// What the sender knows of its limit.
    pub statement: Statement,
}

/// Answer to an [`Ask`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The decision.
    pub verdict: Verdict,
    /// What the sender knows of the limit, if the asking VM does not know it.
    pub newer: Option<Statement>,
}

/// Decision on an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request may be sent now.
    Admitted,
    /// The limit is used up for this time.
    Full(Duration),
    /// The receiver does not admit requests for this server.
    NotOwner,
}
