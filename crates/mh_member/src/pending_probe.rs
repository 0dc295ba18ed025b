use mh_types::{Incarnation, VmName};
use tokio::time::Instant;

/// Ping, or set of requests for indirect probes, that awaits an answer.
#[derive(Clone, Debug)]
pub(crate) struct PendingProbe {
    pub(crate) nonce: u64,
    pub(crate) target: VmName,
    pub(crate) sent_at: Instant,
    pub(crate) kind: ProbeKind,
}

/// Purpose of a pending probe, which decides what happens when it times out.
#[derive(Clone, Debug)]
pub(crate) enum ProbeKind {
    /// Probe on the ring; on timeout other VMs are asked to probe the target, whose record had this version.
    Direct { version: (Incarnation, u64) },
    /// Probe through other VMs; on timeout the target becomes suspect if one of them reported a failure.
    Indirect {
        version: (Incarnation, u64),
        failure_confirmed: bool,
    },
    /// Ping to a delegate of another domain; on timeout the other delegate of that domain is pinged.
    Delegate,
    /// Ping whose timeout has no effect.
    BestEffort,
    /// Probe on behalf of another VM; on timeout the failure is reported to that VM.
    Relay { requester: VmName, nonce: u64 },
}
