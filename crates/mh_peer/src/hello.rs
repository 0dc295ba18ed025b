use bytes::Bytes;
use mh_types::{DomainName, Incarnation, VmName};

/// Version of the protocol between VMs.
pub const PROTOCOL: u16 = 1;

/// Identity of the sender, included in every exchange.
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

/// Messages of one VM for another; the receiver returns its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// The sender.
    pub from: Hello,
    /// Its messages.
    pub parts: Vec<Part>,
}
