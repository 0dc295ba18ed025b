use std::time::Duration;

use bytes::Bytes;
use mh_once::ClaimRow;
use mh_types::{Code, OrgName, RouteName, Run};

/// A non-idempotent request that is forwarded to the VM that owns its operation id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Route that matched.
    pub route: RouteName,
    /// Organisation whose key came with the request.
    pub org: Option<OrgName>,
    /// The operation's id as the caller sent it.
    pub id: String,
    /// Id of the request, as opposed to the operation.
    pub request_id: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers, without the caller key.
    pub headers: Vec<(String, Bytes)>,
    /// Complete body.
    pub body: Bytes,
    /// Time left until the deadline.
    pub deadline: Duration,
    /// Claim row of an id that the caller chose; `None` for an id that names its owner.
    pub claim: Option<ClaimRow>,
}

/// Result of an operation from the VM that owns its id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperationAnswer {
    /// The backend server's answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<(String, Bytes)>,
        /// Complete body.
        body: Bytes,
    },
    /// A refusal.
    Refused {
        /// Result code.
        code: Code,
        /// Whether the operation may have run.
        run: Run,
    },
}

/// Error of an operation that got no answer from the VM that owns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperationError {
    /// Result code.
    pub code: Code,
    /// Whether the operation may have reached that VM.
    pub sent: bool,
}
