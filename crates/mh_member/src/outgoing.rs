use std::net::SocketAddr;

use mh_types::VmName;

use crate::Msg;

/// Message to send. The protocol tolerates its loss.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Receiver.
    pub to: VmName,
    /// Address of the receiver, if known.
    pub addr: Option<SocketAddr>,
    /// Message.
    pub msg: Msg,
}
