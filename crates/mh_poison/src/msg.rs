use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{Fingerprint, ServerRun};

/// Message between VMs. Any of them may be lost, repeated or late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Msg {
    /// Requests that the sender lost in the crash of a server.
    Crash {
        /// The server that crashed.
        server: ServerRun,
        /// The requests.
        lost: SmallVec<[Fingerprint; 4]>,
    },
    /// Requests in quarantine.
    Quarantine(SmallVec<[QuarantineEntry; 4]>),
    /// Requests that a server answered, and which therefore do not crash servers.
    Cleared(SmallVec<[Fingerprint; 4]>),
}

/// A request in quarantine, with times as durations, since clocks of VMs are not compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Milliseconds since the first crash.
    pub first_crash_ms: u64,
    /// Milliseconds until the end of the quarantine.
    pub remaining_ms: u64,
    /// Number of quarantines of this request so far.
    pub count: u32,
}
