use std::fmt;

use mh_poison::{Outbox, QuarantineEntry};

/// Access to the other VMs for reports of crashes.
pub trait CrashPeers: fmt::Debug + Send + Sync {
    /// Sends messages; any of them may be lost.
    fn send(&self, out: Outbox);

    /// Keeps quarantines in the store, for VMs that start.
    fn record(&self, begun: Vec<QuarantineEntry>);
}
