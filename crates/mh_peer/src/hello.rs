use bytes::Bytes;
use mh_types::{DomainName, Incarnation, VmName};

/// Version of the protocol between VMs.
pub const PROTOCOL: u16 = 1;

/// The sender of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// Protocol version that the sender uses.
    pub protocol: u16,
    /// Name of the VM.
    pub vm: VmName,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
}

/// A message of one subsystem within an exchange; a part of an unknown kind is skipped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Number of the subsystem's message type.
    pub kind: u16,
    /// The message in that subsystem's encoding.
    pub body: Bytes,
}

/// A heartbeat with the messages of one VM for another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// The sender.
    pub from: Hello,
    /// Its messages.
    pub parts: Vec<Part>,
}
