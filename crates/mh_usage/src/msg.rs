use std::time::Duration;

use mh_types::{Incarnation, OrgName};
use serde::{Deserialize, Serialize};

use crate::Token;

/// Message between a VM and the holder of the duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Msg {
    /// Counts of a VM, sent to the holder.
    Counts(Counts),
    /// Reply of the holder.
    Ack(Ack),
}

/// Changes of one VM's counts in one window. Each change of a count has a number within the window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The sender's process; a restarted VM counts from zero under another one.
    pub incarnation: Incarnation,
    /// Token of the holder for which the message is meant.
    pub token: Token,
    /// The sender's own wall time.
    pub wall: Duration,
    /// The window.
    pub window: u64,
    /// Number of the last change before those in this message.
    pub after: u64,
    /// Number of the last change in this message.
    pub upto: u64,
    /// Whether no change follows `upto`.
    pub is_final: bool,
    /// The counts that changed, with their new values.
    pub counts: Vec<(OrgName, u64)>,
}

/// Confirms what the holder knows of one VM's counts in one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// Process of the VM whose counts are confirmed.
    pub incarnation: Incarnation,
    /// Token of the holder.
    pub token: Token,
    /// Median time of the VMs, if the holder knows the time of enough VMs.
    pub wall: Option<Duration>,
    /// The window.
    pub window: u64,
    /// Number of the last change that the holder knows.
    pub upto: u64,
    /// Whether the holder knows that no change follows.
    pub is_final: bool,
    /// Whether the window takes no more counts: it is recorded or will never be.
    pub is_closed: bool,
}
