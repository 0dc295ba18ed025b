use std::fmt;

use mh_poison::Outbox;

/// Access to the other VMs for reports of crashes.
pub trait CrashPeers: fmt::Debug + Send + Sync {
    /// Sends messages; any of them may be lost.
    fn send(&self, out: Outbox);
}
